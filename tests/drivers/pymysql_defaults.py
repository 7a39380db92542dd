"""PyMySQL with its defaults against the demo: it logs in, reads, and gets a clear error for what is not supported.

Argument: rookproxy-demo.
"""
import re
import subprocess
import sys

import pymysql


def read_port(demo):
    """Returns the port that the demo prints once it serves."""
    for line in demo.stdout:
        address = re.search(r"127\.0\.0\.1:(\d+)", line)
        if address:
            return int(address.group(1))
    raise AssertionError("the demo never served")


def check_driver(port):
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
        except pymysql.err.NotSupportedError as error:
            assert error.args[0] == 1235 and "autocommit" in error.args[1], error
        connection.autocommit(True)
        assert cursor.execute("INSERT INTO marks_17.pupils VALUES (1)") == 1
    connection.close()


def main():
    demo = subprocess.Popen([sys.argv[1]], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        check_driver(read_port(demo))
        print("pymysql: fine")
    finally:
        demo.terminate()
        demo.wait()


main()
