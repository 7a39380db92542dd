"""PyMySQL with its defaults against the demo: logs in, reads, and is told plainly what can't be kept."""
import re
import subprocess
import sys

import pymysql

demo = subprocess.Popen([sys.argv[1]], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
try:
    port = None
    for line in demo.stdout:
        found = re.search(r"127\.0\.0\.1:(\d+)", line)
        if found:
            port = int(found.group(1))
            break
    assert port, "the demo never served"
    connection = pymysql.connect(host="127.0.0.1", port=port, user="demo", password="demo")
    assert connection.get_autocommit() is False
    with connection.cursor() as cursor:
        assert cursor.execute("SELECT rows_3 FROM marks_17.pupils") == 3
        assert cursor.fetchall()[2] == ("row2",)
        assert connection.get_autocommit() is False, "a result said that autocommit is on"
        connection.commit()
        try:
            cursor.execute("INSERT INTO marks_17.pupils VALUES (1)")
            raise AssertionError("a transaction was promised")
        except pymysql.err.NotSupportedError as fault:
            assert fault.args[0] == 1235 and "autocommit" in fault.args[1], fault
        connection.autocommit(True)
        assert cursor.execute("INSERT INTO marks_17.pupils VALUES (1)") == 1
    connection.close()
    print("pymysql: fine")
finally:
    demo.terminate()
    demo.wait()
