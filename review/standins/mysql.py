"""Stand-ins for MySQL clients and engines, from the published client/server protocol.

An engine keeps tables by schema. As in the published server, a name without a schema is a table of the session's
default schema, and a prepared statement belongs to the schema that was the default when it was prepared. Comments do
not count.
"""
import hashlib
import os
import re
import socket
import struct
import threading
import time

CAPABILITIES = 0x1 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000
PLUGIN_LENENC = 0x200000
EOF_PACKET = b"\xfe\x00\x00\x02\x00"
OK_PACKET = b"\x00\x00\x00\x02\x00\x00\x00"


def lenenc(data):
    assert len(data) < 65536
    return (bytes([len(data)]) if len(data) < 251 else b"\xfc" + struct.pack("<H", len(data))) + data


def take_lenenc(data, at):
    first = data[at]
    if first < 251:
        return data[at + 1:at + 1 + first], at + 1 + first
    size = struct.unpack_from("<H", data, at + 1)[0]
    return data[at + 3:at + 3 + size], at + 3 + size


def native_response(password, nonce):
    once = hashlib.sha1(password.encode()).digest()
    key = hashlib.sha1(nonce + hashlib.sha1(once).digest()).digest()
    return bytes(a ^ b for a, b in zip(once, key))


def sha2_response(password, nonce):
    once = hashlib.sha256(password.encode()).digest()
    key = hashlib.sha256(hashlib.sha256(once).digest() + nonce).digest()
    return bytes(a ^ b for a, b in zip(once, key))


class Packets:
    """Reads and writes packets on a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.input = b""
        self.sequence = 0

    def read_exactly(self, size):
        while len(self.input) < size:
            part = self.connection.recv(65536)
            if not part:
                raise ConnectionError("closed by the peer")
            self.input += part
        data, self.input = self.input[:size], self.input[size:]
        return data

    def read(self):
        header = self.read_exactly(4)
        self.sequence = (header[3] + 1) % 256
        return self.read_exactly(int.from_bytes(header[:3], "little"))

    def write(self, *payloads):
        data = b""
        for payload in payloads:
            data += len(payload).to_bytes(3, "little") + bytes([self.sequence]) + payload
            self.sequence = (self.sequence + 1) % 256
        self.connection.sendall(data)


def column(name):
    text = b"".join(lenenc(part) for part in (b"def", b"", b"", b"", name, name))
    return text + b"\x0c" + struct.pack("<HIBHB", 45, 255, 0xfd, 0, 0) + b"\0\0"


def error_packet(code, text):
    return b"\xff" + struct.pack("<H", code) + b"#HY000" + text.encode()


def without_comments(statement):
    """The statement as the server runs it: comments that stand outside strings and quoted names are blanks."""
    out, at = "", 0
    while at < len(statement):
        char = statement[at]
        if char in "'\"`":
            end = at + 1
            while end < len(statement) and statement[end] != char:
                end += 2 if statement[end] == "\\" and char != "`" else 1
            out += statement[at:end + 1]
            at = end + 1
        elif statement.startswith("/*", at):
            end = statement.find("*/", at + 2)
            out, at = out + " ", len(statement) if end < 0 else end + 2
        else:
            out, at = out + char, at + 1
    return out


def tables_of(statement, default_schema):
    """The tables that a statement reads or writes, as (schema, table)."""
    found = re.findall(r"\b(?:FROM|JOIN|INTO|UPDATE)\s+(?:(\w+)\.)?(\w+)", without_comments(statement), re.I)
    return [(schema or default_schema, table) for schema, table in found]


class Pause:
    """The engine that next receives a command stands still from then on for a while."""

    def __init__(self, seconds):
        self.seconds, self.command, self.engine = seconds, None, None
        self.begun = threading.Event()

    def arm(self, command):
        self.begun.clear()
        self.command = command

    def received(self, engine, command):
        if command == self.command:
            self.command, self.engine = None, engine
            engine.stands_still_until = time.monotonic() + self.seconds
            engine.note(f"{engine.name} receives command {command:#x} and stands still for {self.seconds} s")
            self.begun.set()


class Engine:
    """Serves each connection on its own thread. `tables`: rows (lists of text) by (schema, table)."""

    def __init__(self, name, note, tables, pause=None):
        self.name, self.note, self.tables, self.pause = name, note, tables, pause
        self.stands_still_until = 0.0
        self.lock = threading.Lock()
        self.runs = []  # (time, schema, statement) of each statement that ran
        self.prepares = []  # (thread, schema, statement)
        # By name, a function of engine, schema and arguments, which returns an error (code, text) or None.
        self.procedures = {}
        self.next_thread = 1
        self.sessions = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                thread, self.next_thread = self.next_thread, self.next_thread + 1
            session = Session(self, connection, thread)
            self.sessions.add(session)
            threading.Thread(target=session.run, daemon=True).start()

    def close(self):
        self.listener.close()
        for session in list(self.sessions):
            session.end()


class Session:
    def __init__(self, engine, connection, thread):
        self.engine, self.connection, self.thread = engine, connection, thread
        self.packets = Packets(connection)
        self.schema = ""
        self.statements = {}
        self.next_statement = 1

    def end(self):
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.connection.close()
        self.engine.sessions.discard(self)

    def note(self, text):
        self.engine.note(f"{self.engine.name} session {self.thread} (schema '{self.schema}'): {text}")

    def run(self):
        try:
            self.log_in()
            while True:
                self.packets.sequence = 0
                self.command(self.packets.read())
        except (OSError, ConnectionError):
            pass
        self.end()

    def log_in(self):
        nonce = bytes(33 + b % 94 for b in os.urandom(20))
        low, high = CAPABILITIES & 0xffff, CAPABILITIES >> 16
        self.packets.write(b"\x0a8.0.36-stand-in\0" + struct.pack("<I", self.thread) + nonce[:8] + b"\0" +
                           struct.pack("<HBHHB", low, 45, 2, high, 21) + bytes(10) + nonce[8:] + b"\0" +
                           b"mysql_native_password\0")
        self.packets.read()
        self.packets.write(OK_PACKET)

    def command(self, payload):
        code, rest = payload[0], payload[1:]
        if self.engine.pause:
            self.engine.pause.received(self.engine, code)
        while time.monotonic() < self.engine.stands_still_until:
            time.sleep(0.002)
        if code == 0x01:
            raise ConnectionError("quit")
        if code == 0x02:
            self.schema = rest.decode()
            self.note("default schema chosen")
            self.packets.write(OK_PACKET)
        elif code == 0x03:
            self.execute(rest.decode(), self.schema, False)
        elif code == 0x0e:
            self.packets.write(OK_PACKET)
        elif code == 0x16:
            self.prepare(rest.decode())
        elif code == 0x17:
            number = struct.unpack_from("<I", rest)[0]
            if number not in self.statements:
                self.packets.write(error_packet(1243, "Unknown prepared statement handler"))
                return
            statement, schema = self.statements[number]
            self.execute(statement, schema, True)
        elif code == 0x19:
            self.statements.pop(struct.unpack_from("<I", rest)[0], None)
        else:
            self.packets.write(error_packet(1047, "Unknown command"))

    def prepare(self, statement):
        number, self.next_statement = self.next_statement, self.next_statement + 1
        self.statements[number] = (statement, self.schema)
        self.engine.prepares.append((self.thread, self.schema, statement))
        self.note(f"prepared as {number}: {statement}")
        columns = 1 if statement.upper().startswith("SELECT") else 0
        packets = [b"\0" + struct.pack("<IHHBH", number, columns, 0, 0, 0)]
        if columns:
            packets += [column(b"value"), EOF_PACKET]
        self.packets.write(*packets)

    def execute(self, statement, schema, binary):
        call = re.match(r"\s*CALL\s+(?:(\w+)\.)?(\w+)\s*\((.*)\)", without_comments(statement), re.I)
        if call:
            self.call(statement, call[1] or schema, call[2], call[3])
            return
        tables = tables_of(statement, schema)
        self.engine.runs.append((time.monotonic(), schema, statement))
        self.note(f"ran, with default schema '{schema}': {statement}; tables {tables}")
        if not statement.lstrip().upper().startswith("SELECT"):
            for table in tables:
                self.engine.tables.setdefault(table, []).append(f"written by: {statement}")
            self.packets.write(OK_PACKET)
            return
        rows = [row for table in tables for row in self.engine.tables.get(table, [])] or ["0"]
        packets = [b"\x01", column(b"value"), EOF_PACKET]
        packets += [(b"\0\0" if binary else b"") + lenenc(row.encode()) for row in rows]
        self.packets.write(*packets, EOF_PACKET)

    def call(self, statement, schema, name, arguments):
        self.engine.runs.append((time.monotonic(), schema, statement))
        self.note(f"runs {statement}")
        error = self.engine.procedures[name](self.engine, schema, arguments)
        self.note(f"ends {statement}: {'done' if error is None else f'error {error[0]}: {error[1]}'}")
        self.packets.write(OK_PACKET if error is None else error_packet(*error))


class MysqlError(Exception):
    def __init__(self, code, text):
        super().__init__(f"error {code}: {text}")
        self.code = code


class Client:
    """A client with one session at the dispatcher."""

    def __init__(self, port, user, password, schema, note, timeout=30):
        self.name, self.note = f"{user}/{schema}", note
        self.packets = Packets(socket.create_connection(("127.0.0.1", port), timeout=timeout))
        greeting = self.packets.read()
        at = greeting.index(b"\0", 1) + 5
        nonce = greeting[at:at + 8]
        at += 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10
        nonce += greeting[at:greeting.index(b"\0", at)]
        response = sha2_response(password, nonce)
        self.packets.write(struct.pack("<IIB", CAPABILITIES | PLUGIN_LENENC, 1 << 24, 45) + bytes(23) + user.encode() +
                           b"\0" + lenenc(response) + schema.encode() + b"\0" + b"caching_sha2_password\0")
        answer = self.packets.read()
        if answer == b"\x01\x03":
            answer = self.packets.read()
        self.check(answer)

    def check(self, answer):
        if answer[:1] == b"\xff":
            code = struct.unpack_from("<H", answer, 1)[0]
            raise MysqlError(code, answer[9:].decode(errors="replace"))
        return answer

    def send(self, code, payload):
        self.packets.sequence = 0
        self.packets.write(bytes([code]) + payload)

    def rows(self, binary):
        first = self.check(self.packets.read())
        if first[0] == 0:
            return None
        while self.packets.read()[:1] != b"\xfe":
            pass
        rows = []
        while True:
            row = self.check(self.packets.read())
            if row[:1] == b"\xfe" and len(row) < 9:
                return rows
            rows.append(take_lenenc(row, 2 if binary else 0)[0].decode())

    def logged(self, what, call):
        started = time.monotonic()
        try:
            result = call()
            self.note(f"client {self.name}: {what} -> {result} ({time.monotonic() - started:.3f} s)")
            return result
        except MysqlError as error:
            self.note(f"client {self.name}: {what} -> {error} ({time.monotonic() - started:.3f} s)")
            raise
        except OSError as error:
            waited = time.monotonic() - started
            self.note(f"client {self.name}: {what} -> no answer: {error} ({waited:.3f} s)")
            raise

    def query(self, statement):
        def call():
            self.send(0x03, statement.encode())
            return self.rows(False)
        return self.logged(f"query {statement!r}", call)

    def prepare(self, statement):
        def call():
            self.send(0x16, statement.encode())
            answer = self.check(self.packets.read())
            number, columns, parameters = struct.unpack_from("<IHH", answer, 1)
            for count in (parameters, columns):
                if count:
                    while self.packets.read()[:1] != b"\xfe":
                        pass
            return number
        return self.logged(f"prepare {statement!r}", call)

    def execute(self, number):
        def call():
            self.send(0x17, struct.pack("<IBI", number, 0, 1))
            return self.rows(True)
        return self.logged(f"execute statement {number}", call)

    def close(self):
        self.packets.connection.close()
