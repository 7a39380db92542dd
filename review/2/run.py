"""A batch load of just under 4 MB arrives while other requests are open."""
import json
import os
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case as cases  # noqa: E402
from standins.mysql import Client, Engine, MysqlError  # noqa: E402
from standins.settings import settings  # noqa: E402

MEMORY_MB = 192  # of deploy/mysql.toml
LARGEST = 4 << 20  # a command over 4 MB is answered with error 1153
SMALL = 100_000

OPERATORS_FILE = """
link = "mysql"
[mysql]
listen = "127.0.0.1:{port}"
read_class = "lookup"
load_class = "load"
[mysql.users]
records = "r-secret"
[mysql_engines]
user = "rookproxy"
password = "engine-secret"
[[engines]]
id = "s-1"
host_port = "127.0.0.1:{engine}"
locality = "addis-dc1"
flavor = "engine-a"
"""


def batches(most):
    """Statements of at most so many bytes that load the same marks, of a little under 4 MB together."""
    start = "INSERT INTO marks_3.marks VALUES "
    rows, size, total, number = [], len(start), 0, 0
    while total < LARGEST - 10_000:
        row = f"({number % 100},{number % 10})"
        number += 1
        total += len(row) + 1
        if size + len(row) + 1 > most:
            yield start + ",".join(rows)
            rows, size = [], len(start)
        rows.append(row)
        size += len(row) + 1
    yield start + ",".join(rows)


class Platform(threading.Thread):
    """Watches the memory of a dispatcher, and kills it over its limit, as DEPLOY says. Pages of files are left out."""

    def __init__(self, case, pid):
        super().__init__(daemon=True)
        self.case, self.pid, self.most, self.killed = case, pid, 0, False

    def memory_kb(self):
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0
        words = status.split()
        return sum(int(words[words.index(key) + 1]) for key in ("RssAnon:", "RssShmem:") if key in words)

    def run(self):
        while not self.killed:
            used = self.memory_kb()
            if used > self.most:
                self.most = used
            if used > MEMORY_MB * 1024:
                os.kill(self.pid, signal.SIGKILL)
                self.killed = True
                self.case.note(f"platform: {used / 1024:.0f} MB in use, the limit is {MEMORY_MB}: killed")
            time.sleep(0.002)


def body(case):
    engine = Engine("s-1", case.note, {})
    engine.run_time = 0.1
    case.closers.append(engine.close)
    port, ops = cases.free_port(), cases.free_port()
    (case.temporary / "config.json").write_text(json.dumps({
        "name": "n1", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "settings": settings()}))
    (case.temporary / "mysql.toml").write_text(OPERATORS_FILE.format(port=port, engine=engine.port))
    dispatcher = case.launch(case.deploy_command(f"--file {case.temporary}/mysql.toml"), "dispatcher", {
        "NODE_NAME": "n1", "NODE_CONFIG": f"{case.temporary}/config.json", "NODE_OPS": f"127.0.0.1:{ops}"})
    cases.wait_for(lambda: cases.ask_admin(ops, "STATUS").startswith("+OK"), 10, "the dispatcher is ready")
    platform = Platform(case, dispatcher.pid)
    platform.start()

    unanswered = []

    def run(client, statement):
        try:
            client.query(statement)
        except MysqlError:
            pass  # Refused or failed: an answer.
        except OSError:
            unanswered.append(f"{client.name}: no answer to {statement[:60]}")
            return False
        return True

    # Another client's loads run one after another, so that one is open whenever the batch arrives.
    other, batch = (Client(port, "records", "r-secret", schema, case.note) for schema in ("marks_4", "marks_3"))
    stop = threading.Event()

    def load_lists():
        number = 0
        while not stop.is_set() and run(other, f"INSERT INTO marks_4.class_lists VALUES ({number})"):
            number += 1

    lists = threading.Thread(target=load_lists)
    lists.start()
    time.sleep(0.5)
    for statement in batches(LARGEST if case.trouble else SMALL):
        if not run(batch, statement):
            break
    stop.set()
    lists.join()
    case.note(f"most memory in use: {platform.most / 1024:.0f} MB of {MEMORY_MB}")
    if not platform.killed:
        if unanswered:
            raise cases.CannotRun(f"not killed for memory, but {unanswered}")
        return []
    return [f"the dispatcher used {platform.most / 1024:.0f} MB of {MEMORY_MB}, and was killed for it", *unanswered]


cases.main(__file__, body)
