"""PyMySQL logs in by token over TLS, as any user of it would: the token in place of the password."""
import ssl
import sys

import pymysql

port, user, token = int(sys.argv[1]), sys.argv[2], sys.argv[3]
context = ssl.create_default_context()
context.check_hostname = False
context.verify_mode = ssl.CERT_NONE


def connect(password):
    return pymysql.connect(host="127.0.0.1", port=port, user=user, password=password, ssl=context)


connection = connect(token)
with connection.cursor() as cursor:
    assert cursor.execute("SELECT rows_3 FROM sales_17.orders") == 3
    try:
        cursor.execute("SELECT rows_3 FROM sales_41.orders")
        raise AssertionError("another tenant's data")
    except pymysql.err.MySQLError as fault:
        assert fault.args[0] == 1142, fault
connection.close()
try:
    connect(token[:-4] + "AAAA")
    raise AssertionError("a token with another signature was taken")
except pymysql.err.OperationalError as fault:
    assert fault.args[0] == 1045, fault
