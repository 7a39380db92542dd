"""PyMySQL logs in by a token over TLS, which is given in place of the password.

Arguments: the port of the MySQL frontend, the user, and a valid token.
"""
import ssl
import sys

import pymysql


def connect(port, user, password):
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return pymysql.connect(host="127.0.0.1", port=port, user=user, password=password, ssl=context)


def check_rights(connection):
    with connection.cursor() as cursor:
        assert cursor.execute("SELECT rows_3 FROM sales_17.orders") == 3
        try:
            cursor.execute("SELECT rows_3 FROM sales_41.orders")
            raise AssertionError("another tenant's data was read")
        except pymysql.err.MySQLError as error:
            assert error.args[0] == 1142, error


def check_invalid_signature(port, user, token):
    try:
        connect(port, user, token[:-4] + "AAAA")
        raise AssertionError("a token with an invalid signature was accepted")
    except pymysql.err.OperationalError as error:
        assert error.args[0] == 1045, error


def main():
    port, user, token = int(sys.argv[1]), sys.argv[2], sys.argv[3]
    connection = connect(port, user, token)
    check_rights(connection)
    connection.close()
    check_invalid_signature(port, user, token)


main()
