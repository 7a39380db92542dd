"""An engine answers an executed load with an error after a part of it has run: the load must not run again."""
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case as cases  # noqa: E402
from standins.mysql import Client, Engine, MysqlError  # noqa: E402
from standins.settings import settings  # noqa: E402

NEED_REPREPARE, UNKNOWN_STATEMENT, REFUSED = 1615, 1243, 3168
REPREPARE = (NEED_REPREPARE, "Prepared statement needs to be re-prepared")
UNKNOWN = (UNKNOWN_STATEMENT, "Unknown prepared statement handler (totals) given to EXECUTE")

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
"""
ENGINE = """
[[engines]]
id = "{name}"
host_port = "127.0.0.1:{port}"
locality = "addis-dc1"
flavor = "engine-a"
"""


class Procedure:
    """post_marks(id): inserts the marks of one load, then brings the totals up to date, each in its own transaction.
    `failures`: by the id of a load, the error of its second step, and at how many calls it occurs."""

    def __init__(self):
        self.failures, self.inserted = {}, {}

    def __call__(self, engine, schema, argument):
        load = int(argument)
        engine.tables.setdefault((schema, "marks"), []).append(load)
        self.inserted.setdefault(load, []).append(engine.name)
        engine.note(f"{engine.name}: inserted the marks of load {load}")
        error, calls = self.failures.get(load, (None, 0))
        if calls == 0:
            return None
        self.failures[load] = (error, calls - 1)
        return error


def start(case):
    """Starts two engines and the dispatcher; returns the procedure that both engines have, and the port."""
    procedure = Procedure()
    engines = [Engine(name, case.note, {}) for name in ("s-1", "s-2")]
    for engine in engines:
        engine.procedures["post_marks"] = procedure
    case.closers += [engine.close for engine in engines]
    port, ops = cases.free_port(), cases.free_port()
    (case.temporary / "config.json").write_text(json.dumps({
        "name": "n1", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings("off")}))
    (case.temporary / "mysql.toml").write_text(OPERATORS_FILE.format(port=port) + "".join(
        ENGINE.format(name=engine.name, port=engine.port) for engine in engines))
    case.launch(case.deploy_command(f"--file {case.temporary}/mysql.toml"), "dispatcher",
                {"NODE_NAME": "n1", "NODE_CONFIG": f"{case.temporary}/config.json", "NODE_OPS": f"127.0.0.1:{ops}"})
    cases.wait_for(lambda: cases.ask_admin(ops, "STATUS").startswith("+OK"), 10, "the dispatcher is ready")
    return procedure, port


def body(case):
    procedure, port = start(case)
    client = Client(port, "records", "r-secret", "marks_7", case.note)
    violations = []

    def load(name, error=None, calls=0):
        """Sends one load, which must run once at most, and not at all if it is refused."""
        if case.trouble and error:
            procedure.failures[name] = (error, calls)
        statement = client.prepare(f"CALL marks_7.post_marks({name})")
        try:
            client.execute(statement)
            answer = "done"
        except MysqlError as failure:
            answer = f"{failure}"
            if failure.code == REFUSED and procedure.inserted.get(name):
                violations.append(f"load {name} was answered '{failure}', and its marks were inserted")
        time.sleep(0.3)  # A further attempt would begin meanwhile.
        runs = procedure.inserted.get(name, [])
        case.note(f"load {name}: answered '{answer}'; its marks were inserted {len(runs)} times, at {runs}")
        if len(runs) > 1:
            violations.append(f"load {name} ran {len(runs)} times, at {runs}")

    load(1)
    load(2, REPREPARE, 1)  # An engine fails once.
    load(3, UNKNOWN, 1)
    load(4, REPREPARE, 100)  # All engines fail.
    load(5)
    return violations


cases.main(__file__, body)
