"""A client sends one long statement, within its limits, while ordinary clients look up their marks."""
import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case as cases  # noqa: E402
from standins.mysql import Client, Engine, MysqlError  # noqa: E402
from standins.settings import settings  # noqa: E402

CLIENTS = 6
STATEMENT_BYTES = 2_000_000  # of 4 MB that a command may have
DEADLINE = 3.0  # s: read_deadline_ms
SLACK = 0.55  # s: 50 ms, and half a second in which an answer only earns nothing
WATCHED = 21.0  # s: a thread that neither waits nor ends for 20 s counts as a crash

OPERATORS_FILE = """
link = "mysql"
[mysql]
listen = "127.0.0.1:{port}"
read_class = "lookup"
load_class = "load"
read_deadline_ms = 3000
[mysql.users]
records = "r-secret"
student = "s-secret"
[mysql_engines]
user = "rookproxy"
password = "engine-secret"
[access]
[[access.roles]]
name = "student"
classes = ["lookup"]
[[access.tenants]]
name = "addis"
schemas = ["marks_*"]
groups = ["1-40"]
[[access.users]]
name = "records"
tenant = "addis"
roles = ["student"]
[[access.users]]
name = "student"
tenant = "addis"
roles = ["student"]
"""
ENGINE = """
[[engines]]
id = "{name}"
host_port = "127.0.0.1:{port}"
locality = "addis-dc1"
flavor = "engine-a"
"""


def long_statement():
    """A query of many tables, each in a schema of its own."""
    tables, size = [], 0
    while size < STATEMENT_BYTES:
        tables.append(f"s{len(tables)}.t")
        size += len(tables[-1]) + 1
    return "SELECT 1 FROM " + ",".join(tables)


class Platform(threading.Thread):
    """Watches, as the platform does, whether the dispatcher's thread waits or ends, and how much memory it uses."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid, self.longest, self.most_kb = pid, 0.0, 0

    def run(self):
        waits, since = "", time.monotonic()
        try:
            while True:
                words = pathlib.Path(f"/proc/{self.pid}/status").read_text(encoding="ascii").split()
                status = dict(zip(words, words[1:]))
                self.most_kb = max(self.most_kb, int(status["VmHWM:"]))
                if status["State:"] != "R" or status["voluntary_ctxt_switches:"] != waits:
                    waits, since = status["voluntary_ctxt_switches:"], time.monotonic()
                self.longest = max(self.longest, time.monotonic() - since)
                time.sleep(0.01)
        except (OSError, ValueError, KeyError):
            pass  # The process has ended.


def start(case):
    """Starts two engines and the dispatcher; returns its process and its ports."""
    tables = {(f"marks_{number}", "marks"): [f"mark of marks_{number}"] for number in range(1, CLIENTS + 1)}
    engines = [Engine(name, case.note, tables) for name in ("s-1", "s-2")]
    case.closers += [engine.close for engine in engines]
    port, ops = cases.free_port(), cases.free_port()
    (case.temporary / "config.json").write_text(json.dumps({
        "name": "n1", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings("off")}))
    (case.temporary / "mysql.toml").write_text(OPERATORS_FILE.format(port=port) + "".join(
        ENGINE.format(name=engine.name, port=engine.port) for engine in engines))
    dispatcher = case.launch(
        case.deploy_command(f"--file {case.temporary}/mysql.toml"), "dispatcher",
        {"NODE_NAME": "n1", "NODE_CONFIG": f"{case.temporary}/config.json", "NODE_OPS": f"127.0.0.1:{ops}"})
    cases.wait_for(lambda: cases.ask_admin(ops, "STATUS").startswith("+OK"), 10, "the dispatcher is ready")
    return dispatcher, port, ops


def body(case):
    dispatcher, port, ops = start(case)
    platform = Platform(dispatcher.pid)
    violations = []
    clients = {number: Client(port, "records", "r-secret", f"marks_{number}", case.note, timeout=DEADLINE + SLACK)
               for number in range(1, CLIENTS + 1)}

    def look_up(number):
        """An ordinary client's lookup, which must be answered in its time; the socket's timeout is the bound."""
        try:
            clients[number].query("SELECT mark FROM marks")
        except MysqlError:
            pass  # Refused or failed: allowed.
        except OSError:
            violations.append(f"an ordinary client's lookup of marks_{number} got no answer in {DEADLINE + SLACK} s")

    for number in clients:
        look_up(number)
    if violations:
        raise cases.CannotRun("no answers before any disruption")
    platform.start()

    if case.trouble:
        statement = long_statement()
        case.note(f"client student: sends a query of {len(statement)} bytes: {statement[:60]}...")
        bad = Client(port, "student", "s-secret", "marks_1", lambda text: None)
        bad.send(0x03, statement.encode())
    time.sleep(0.2)
    lookups = [threading.Thread(target=look_up, args=[number]) for number in clients]
    for thread in lookups:
        thread.start()
    for thread in lookups:
        thread.join()
    if violations:
        asked = time.monotonic()
        case.note(f"operators: STATUS is answered {cases.ask_admin(ops, 'STATUS', 2.0)!r} "
                  f"after {time.monotonic() - asked:.3f} s; it is owed in 1 s")
        time.sleep(max(0.0, WATCHED - platform.longest))
    case.note(f"platform: the dispatcher's thread neither waited nor ended for {platform.longest:.1f} s at the most; "
              f"memory in use: {platform.most_kb / 1024:.0f} MB of 192 at the most")
    if platform.longest > 20.0:
        violations.append(f"the dispatcher's thread neither waited nor ended for {platform.longest:.1f} s")
    return violations


cases.main(__file__, body)
