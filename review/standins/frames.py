"""A stand-in for clients on the frame protocol of PROTOCOL."""
import os
import socket
import struct
import threading
import time

CODES = {0: "served", 1: "refused", 2: "failed"}


class Request:
    """One request and what came of it. `sent` is the time of its last byte."""

    def __init__(self, call, op, ttl, sent):
        self.call, self.op, self.ttl, self.sent = call, op, ttl, sent
        self.answers = []  # (time, word, body)
        self.ended = None  # when the connection ended

    def final(self):
        return self.answers[0][1] if self.answers else None


class Client:
    """One connection to a dispatcher."""

    def __init__(self, port, note, timeout=1.0):
        self.note = note
        self.connection = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self.connection.settimeout(None)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = 0
        self.requests = {}
        self.goaway = False
        threading.Thread(target=self.read, daemon=True).start()

    def request(self, op, statement, ttl):
        """Sends a request; returns it. Its answers are added as they come."""
        self.stream += 1
        call = os.urandom(8).hex()
        fields = {"op": op, "call": call, "ttl": str(ttl), "work": "20.0", "memory": "16"}
        payload = bytes([len(fields)])
        for name, value in fields.items():
            payload += bytes([len(name)]) + name.encode() + struct.pack(">H", len(value)) + value.encode()
        payload += statement.encode()
        request = Request(call, op, ttl, time.monotonic())
        self.requests[self.stream] = request
        try:
            self.connection.sendall(struct.pack(">IBI", len(payload) + 5, 2, self.stream) + payload)
            request.sent = time.monotonic()
        except OSError as error:
            request.ended = time.monotonic()
            self.note(f"client: {op} {call} could not be sent: {error}")
            return request
        self.note(f"client: sent {op} {call}, ttl {ttl}: {statement[:100]} ({len(statement)} bytes)")
        return request

    def take(self, size):
        data = b""
        while len(data) < size:
            part = self.connection.recv(size - len(data))
            if not part:
                raise ConnectionError
            data += part
        return data

    def read(self):
        try:
            while True:
                length, kind, stream = struct.unpack(">IBI", self.take(9))
                payload = self.take(length - 5)
                if kind == 64:
                    self.goaway = True
                if kind != 4 or stream not in self.requests:
                    continue
                count, at = payload[1], 2
                for _ in range(2 * count):
                    size = payload[at] if _ % 2 == 0 else struct.unpack_from(">H", payload, at)[0]
                    at += size + (1 if _ % 2 == 0 else 2)
                request = self.requests[stream]
                body = payload[at:].decode(errors="replace")
                request.answers.append((time.monotonic(), CODES[payload[0]], body))
                waited = request.answers[-1][0] - request.sent
                self.note(f"client: {request.op} {request.call} {CODES[payload[0]]} after {waited:.3f} s: {body!r}")
        except (OSError, ConnectionError):
            pass
        for request in self.requests.values():
            request.ended = request.ended or time.monotonic()

    def close(self):
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.connection.close()
