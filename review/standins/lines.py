"""A stand-in for query engines on the line protocol of PROTOCOL."""
import socket
import threading


class Engine:
    """Answers each request with one row after `delay` seconds; notes what it receives and answers."""

    def __init__(self, name, note, delay=0.005, port=0):
        self.name, self.note, self.delay = name, note, delay
        self.rows = "ok\tok\tok\n"
        self.connections = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            served = Connection(self, connection)
            self.connections.add(served)
            threading.Thread(target=served.run, daemon=True).start()

    def close(self):
        self.listener.close()
        for connection in list(self.connections):
            connection.end()


class Connection:
    def __init__(self, engine, connection):
        self.engine, self.connection = engine, connection
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lock = threading.Lock()
        self.input = b""
        self.open = set()

    def end(self):
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.connection.close()
        self.engine.connections.discard(self)

    def more(self):
        part = self.connection.recv(65536)
        if not part:
            raise ConnectionError
        self.input += part

    def read_line(self):
        while b"\r\n" not in self.input:
            self.more()
        line, self.input = self.input.split(b"\r\n", 1)
        return line.decode()

    def read_body(self, size):
        while len(self.input) < size + 2:
            self.more()
        body, self.input = self.input[:size], self.input[size + 2:]
        return body.decode()

    def send(self, text):
        with self.lock:
            try:
                self.connection.sendall(text.encode())
            except OSError:
                pass

    def serve(self, request):
        if request in self.open:
            self.open.discard(request)
            rows = self.engine.rows
            self.engine.note(f"{self.engine.name}: data for {request}")
            self.send(f"{request} data parts=1,use=queue:0;x0:0.1;x1:0.1 {len(rows)}\r\n{rows}\r\n")

    def run(self):
        try:
            while True:
                self.command(self.read_line().split(" "))
        except (OSError, ConnectionError, ValueError):
            pass
        self.end()

    def command(self, words):
        if words[0] == "REQ":
            statement = self.read_body(int(words[3]))
            self.engine.note(f"{self.engine.name}: received {' '.join(words)}: {statement[:100]}")
            self.open.add(words[1])
            threading.Timer(self.engine.delay, self.serve, [words[1]]).start()
        elif words[0] == "STOP":
            self.open.discard(words[1])
            self.engine.note(f"{self.engine.name}: received STOP {words[1]}")
        elif words[0] in ("HELO", "STAT"):
            self.send(f"{words[1]} well use=queue:0;x0:0.1;x1:0.1 0\r\n\r\n")
