"""A MySQL engine and a MySQL client for the review's cases, written from the published client/server protocol.

Both know only what the cases need: the 4.1 protocol, text queries, prepared statements whose parameters and results
are texts, INIT_DB, PING and KILL QUERY. As a server does, the engine resolves the unqualified tables of a prepared
statement in the schema that was selected when the statement was prepared.
"""
import hashlib
import socket
import struct
import threading
import time

NATIVE = b"mysql_native_password"
CAPABILITIES = 0x1 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000 | 0x200000
COM_QUIT, COM_INIT_DB, COM_QUERY, COM_PING = 0x01, 0x02, 0x03, 0x0e
COM_PREPARE, COM_EXECUTE, COM_LONG_DATA, COM_CLOSE = 0x16, 0x17, 0x18, 0x19
EOF_PACKET = b"\xfe\0\0\2\0"


class Closed(Exception):
    """The peer has closed the connection, or did not answer in time."""


class Packets:
    """Reads and writes the packets of one connection."""

    def __init__(self, sock):
        self.sock = sock
        self.sequence = 0
        self.buffer = b""

    def _take(self, size):
        while len(self.buffer) < size:
            try:
                part = self.sock.recv(65536)
            except OSError as error:
                raise Closed(str(error)) from error
            if not part:
                raise Closed("closed")
            self.buffer += part
        taken, self.buffer = self.buffer[:size], self.buffer[size:]
        return taken

    def read(self):
        header = self._take(4)
        self.sequence = (header[3] + 1) % 256
        return self._take(header[0] | header[1] << 8 | header[2] << 16)

    def write(self, *payloads):
        out = b""
        for payload in payloads:
            out += struct.pack("<I", len(payload))[:3] + bytes([self.sequence]) + payload
            self.sequence = (self.sequence + 1) % 256
        try:
            self.sock.sendall(out)
        except OSError as error:
            raise Closed(str(error)) from error


def text(value):
    data = value.encode()
    return (bytes([len(data)]) if len(data) < 251 else b"\xfc" + struct.pack("<H", len(data))) + data


def read_text(data, at):
    size = data[at]
    at += 1
    if size == 0xfc:
        size = data[at] | data[at + 1] << 8
        at += 2
    return data[at:at + size].decode(), at + size


def column(name):
    names = b"".join(text(part) for part in ("def", "", "", "", name, name))
    return names + b"\x0c" + struct.pack("<HIB", 45, 255, 0xfd) + b"\0" * 5


def ok_packet(rows=0):
    return b"\0" + bytes([rows, 0]) + struct.pack("<HH", 2, 0)


def error_packet(code, message):
    return b"\xff" + struct.pack("<H", code) + b"#HY000" + message.encode()


class Engine:
    """Listens on 127.0.0.1. `delay(command)` is the time in seconds that the engine takes for a command, by its
    number; `prepare_time(statement)` and `run_time(statement)` are those of a statement. `record(line)` is called for
    everything that it runs. The answer to a statement is spoilt if `spoils(statement)` returns what sends it."""

    def __init__(self, name, record, delay=lambda command: 0.0, run_time=lambda statement: 0.0,
                 spoils=lambda statement: None, prepare_time=lambda statement: 0.0):
        self.name = name
        self.record = record
        self.delay = delay
        self.run_time = run_time
        self.spoils = spoils
        self.prepare_time = prepare_time
        self.ran = []
        self.lock = threading.Lock()
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections += 1
                number = self.connections
            threading.Thread(target=self._serve, args=(Packets(sock), number), daemon=True).start()

    def _serve(self, packets, number):
        try:
            greeting = b"\x0a8.0.0-stand-in\0" + struct.pack("<I", number) + b"12345678\0"
            greeting += struct.pack("<HBHH", CAPABILITIES & 0xffff, 45, 2, CAPABILITIES >> 16) + b"\x15" + b"\0" * 10
            packets.write(greeting + b"123456789012\0" + NATIVE + b"\0")
            packets.read()
            packets.write(ok_packet())
            self._session(packets, number)
        except Closed:
            pass
        finally:
            packets.sock.close()

    def _session(self, packets, number):
        schema, statements, next_id = "", {}, 1
        while True:
            payload = packets.read()
            command, data = payload[0], payload[1:]
            time.sleep(self.delay(command))
            if command == COM_QUIT:
                return
            if command == COM_INIT_DB:
                schema = data.decode()
                packets.write(ok_packet())
            elif command == COM_PING:
                packets.write(ok_packet())
            elif command == COM_QUERY:
                self._run(packets, number, schema, data.decode(), [], False)
            elif command == COM_PREPARE:
                statement = data.decode()
                time.sleep(self.prepare_time(statement))
                count = statement.count("?")
                statements[next_id] = (statement, schema, count)
                reads = statement.upper().startswith("SELECT")
                out = [b"\0" + struct.pack("<IHH", next_id, 1 if reads else 0, count) + b"\0\0\0"]
                out += [column("?")] * count + ([EOF_PACKET] if count else [])
                out += [column("answer"), EOF_PACKET] if reads else []
                next_id += 1
                packets.write(*out)
            elif command == COM_EXECUTE:
                known = statements.get(struct.unpack("<I", data[:4])[0])
                if known is None:
                    packets.write(error_packet(1243, "Unknown prepared statement handler"))
                    continue
                statement, prepared_in, count = known
                values, at = [], 9
                if count:
                    at += (count + 7) // 8 + 1 + 2 * count
                    while at < len(data) and len(values) < count:
                        value, at = read_text(data, at)
                        values.append(value)
                self._run(packets, number, prepared_in, statement, values, True)
            elif command == COM_CLOSE:
                statements.pop(struct.unpack("<I", data[:4])[0], None)
            elif command != COM_LONG_DATA:
                packets.write(error_packet(1047, "Unknown command"))

    def _run(self, packets, number, schema, statement, values, binary):
        if statement.startswith("KILL QUERY"):
            return packets.write(ok_packet())
        what = f"{schema}|{statement}|{','.join(values)}"
        self.record(f"{self.name} connection {number} runs {what}")
        with self.lock:
            self.ran.append(what)
        time.sleep(self.run_time(statement))
        if not statement.upper().startswith("SELECT"):
            return packets.write(ok_packet(1))
        row = (b"\0\0" if binary else b"") + text(what)
        spoilt = self.spoils(statement)
        if spoilt is not None:
            self.record(f"{self.name} spoils its answer to {what}")
            return spoilt(packets)
        return packets.write(b"\1", column("answer"), EOF_PACKET, row, EOF_PACKET)


class Refused(Exception):
    """The server answered with an error."""

    def __init__(self, code, message):
        super().__init__(f"error {code}: {message}")
        self.code = code


class Client:
    """One session. Every call waits for its answer and returns its only row, or "" if there is none."""

    def __init__(self, port, user, password, schema, timeout=30):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.packets = Packets(self.sock)
        greeting = self.packets.read()
        at = greeting.index(b"\0") + 5
        nonce = greeting[at:at + 8] + greeting[at + 27:at + 39]
        once = hashlib.sha256(password.encode()).digest()
        key = hashlib.sha256(hashlib.sha256(once).digest() + nonce).digest()
        proof = bytes(a ^ b for a, b in zip(once, key))
        login = struct.pack("<IIB", CAPABILITIES if schema else CAPABILITIES & ~8, 1 << 24, 45) + b"\0" * 23
        login += user.encode() + b"\0" + bytes([len(proof)]) + proof
        login += (schema.encode() + b"\0" if schema else b"") + b"caching_sha2_password\0"
        self.packets.write(login)
        answer = self.packets.read()
        while answer[:1] == b"\1":
            answer = self.packets.read()
        self._check(answer)

    def _check(self, payload):
        if payload[:1] == b"\xff":
            raise Refused(struct.unpack("<H", payload[1:3])[0], payload[9:].decode(errors="replace"))
        return payload

    def _send(self, command, data):
        self.packets.sequence = 0
        self.packets.write(bytes([command]) + data)

    def _read_rows(self, binary):
        first = self._check(self.packets.read())
        if first[:1] == b"\0":
            return ""
        row = ""
        for _ in range(first[0] + 1):
            self.packets.read()
        while True:
            payload = self._check(self.packets.read())
            if payload[:1] == b"\xfe" and len(payload) < 9:
                return row
            row = read_text(payload, 2 if binary else 0)[0]

    def query(self, statement):
        self._send(COM_QUERY, statement.encode())
        return self._read_rows(False)

    def start_query(self, statement):
        self._send(COM_QUERY, statement.encode())

    def start_prepare(self, statement):
        self._send(COM_PREPARE, statement.encode())

    def prepare(self, statement):
        self.start_prepare(statement)
        answer = self._check(self.packets.read())
        number, columns, parameters = struct.unpack("<IHH", answer[1:9])
        for count in (parameters, columns):
            for _ in range(count + 1 if count else 0):
                self.packets.read()
        return number, columns, parameters

    def start_execute(self, number, values):
        data = struct.pack("<IBI", number, 0, 1)
        if values:
            data += b"\0" * ((len(values) + 7) // 8) + b"\1" + b"\xfd\0" * len(values)
            data += b"".join(text(value) for value in values)
        self._send(COM_EXECUTE, data)

    def execute(self, number, values):
        self.start_execute(number, values)
        return self._read_rows(True)

    def send_long_data(self, data):
        """Nothing answers it."""
        self._send(COM_LONG_DATA, data)

    def vanish(self):
        self.sock.close()
