"""A stand-in for service discovery: DNS over UDP, as PROTOCOL describes."""
import socket
import struct
import threading

SERVICE = "_app._tcp.cluster.lan"


def dns_name(text):
    return b"".join(bytes([len(label)]) + label.encode() for label in text.split(".")) + b"\0"


def dns_record(name, kind, data):
    return dns_name(name) + struct.pack(">HHIH", kind, 1, 0, len(data)) + data


class Directory:
    """Answers with the list in force. `engines`: by id, a dictionary with port, state, started_ms."""

    def __init__(self, note, zone="addis-dc1", kind="engine-a"):
        self.note, self.zone, self.kind = note, zone, kind
        self.lock = threading.Lock()
        self.engines, self.serial = {}, 1
        self.sent = set()  # the serials that an answer has carried
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def set(self, engine, port, state="up", started_ms=0):
        with self.lock:
            self.engines[engine] = {"port": port, "state": state, "started_ms": started_ms}

    def change(self, engine, **changes):
        """Changes an engine's entry, as a new event."""
        with self.lock:
            self.engines[engine].update(changes)
            self.serial += 1
            self.note(f"directory: event {self.serial}: {engine} {changes}")

    def known(self):
        """The list of the start, for the dispatcher's configuration."""
        members = [{"id": engine, "host_port": f"127.0.0.1:{entry['port']}", "locality": self.zone, "flavor": self.kind,
                    "cell": 0, "phase": entry["state"], "size": 4, "up_since_ms": entry["started_ms"]}
                   for engine, entry in self.engines.items()]
        return {"offset": self.serial, "batch": [
            {"offset": self.serial, "topology": {"revision": self.serial, "complete": True, "members": members}}]}

    def response(self, query):
        answers, additional, count = b"", b"", 0
        for engine, entry in self.engines.items():
            host = f"{engine}.{self.zone}.hosts"
            priority = 1 if entry["state"] == "draining" else 0
            answers += dns_record(SERVICE, 33, struct.pack(">HHH", priority, 40, entry["port"]) + dns_name(host))
            additional += dns_record(host, 1, socket.inet_aton("127.0.0.1"))
            texts = [f"kind={self.kind}", "cell=0", f"started={entry['started_ms']}"]
            additional += dns_record(host, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts))
            count += 1
        soa = dns_name("ns.cluster.lan") + dns_name("admin.cluster.lan")
        soa += struct.pack(">IIIII", self.serial, 1, 1, 1, 1)
        header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, count, 1, 2 * count)
        return header + query[12:] + answers + dns_record("cluster.lan", 6, soa) + additional

    def run(self):
        while True:
            try:
                query, address = self.socket.recvfrom(4096)
            except OSError:
                return
            with self.lock:
                data, serial = self.response(query), self.serial
            self.socket.sendto(data, address)
            if serial not in self.sent:
                self.sent.add(serial)
                self.note(f"directory: first answer with serial {serial} sent")

    def close(self):
        self.socket.close()
