"""A client leaves while an engine stands still, before its request has begun; other clients' requests come next."""
import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case as cases  # noqa: E402
from standins.mysql import Client, Engine, MysqlError, Pause  # noqa: E402
from standins.settings import settings  # noqa: E402

SCHOOLS = [f"marks_{group}" for group in range(1, 13)]
LOOKUP = "SELECT mark FROM marks"
LOAD = "INSERT INTO corrections VALUES ('{}')"
INIT_DB, QUERY, STMT_PREPARE, STMT_EXECUTE = 0x02, 0x03, 0x16, 0x17
GONE_FOR = 0.15  # s after its client has gone: the latest at which an attempt may begin (0.1, and the slack)

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


def start(case):
    """Starts three engines and the dispatcher; returns the engines, what makes one of them pause, and the port."""
    tables = {(school, "marks"): [f"mark of {school}"] for school in SCHOOLS}
    pause = Pause(0.4)
    engines = [Engine(f"s-{number}", case.note, tables, pause) for number in (1, 2, 3)]
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
    return engines, pause, port


def body(case):
    engines, pause, port = start(case)
    violations, loaded = [], []

    def log_in(school):
        return Client(port, "records", "r-secret", school, case.note)

    clients = {school: log_in(school) for school in SCHOOLS}

    def look_up(school):
        """A school looks up its own marks, which are the only rows that it may be answered."""
        try:
            rows = clients[school].query(LOOKUP)
        except MysqlError:
            return  # Refused or failed: allowed.
        if rows != [f"mark of {school}"]:
            violations.append(f"{school} asked for its own marks and was answered {rows}")

    def load(school):
        """A school loads a correction of its own."""
        try:
            clients[school].query(LOAD.format(school))
            loaded.append(school)
        except MysqlError:
            pass  # Refused or failed: allowed.

    def served_by(engine):
        """The schools whose last lookup ran on this engine, in the order of these."""
        last = {}
        for candidate in engines:
            for at, school, statement in candidate.runs:
                if statement == LOOKUP and at > last.get(school, (0, None))[0]:
                    last[school] = (at, candidate)
        return sorted((school for school in clients if last[school][1] is engine), key=lambda school: last[school][0])

    def leave(schools, command, send, is_prepared):
        """Sends the request of one of these schools whose engine gets this command first, and stands still at it; the
        school's client leaves meanwhile. Returns the school, and when its client left."""
        for school in schools:
            pause.arm(command)
            send(school)
            if pause.begun.wait(1):
                time.sleep(0.05)
                clients.pop(school).close()
                case.note(f"client records/{school} left")
                return school, time.monotonic()
            pause.arm(None)  # The engine was ready for this request.
            clients[school].rows(is_prepared)
        raise cases.CannotRun(f"no engine received command {command:#x}")

    for _ in range(2):
        for school in SCHOOLS:
            look_up(school)

    # 1. A lookup waits until its default schema is chosen on the engine. After the pause other schools look up theirs.
    schools = max((served_by(engine) for engine in engines), key=len)
    if case.trouble:
        leave(schools[:-1], INIT_DB, lambda school: clients[school].send(QUERY, LOOKUP.encode()), False)
    else:
        look_up(schools[0])
    time.sleep(1)
    for school in reversed(schools):
        if school in clients:
            look_up(school)

    # 2. A prepared load waits until it is prepared on the engine that is to execute it; other schools' loads come next.
    prepared = {school: clients[school].prepare(LOAD.format(school)) for school in list(clients)[:4]}
    leaving, left = None, None
    if case.trouble:
        leaving, left = leave(prepared, STMT_PREPARE, lambda school: clients[school].send(
            STMT_EXECUTE, prepared[school].to_bytes(4, "little") + b"\0\1\0\0\0"), True)
        time.sleep(0.05)
    else:
        clients[next(iter(prepared))].execute(prepared[next(iter(prepared))])
    loads = [threading.Thread(target=load, args=[school]) for school in clients if school not in prepared]
    for thread in loads:
        thread.start()
    for thread in loads:
        thread.join()
    time.sleep(0.5)
    runs = {school: [(at, schema) for engine in engines for at, schema, statement in engine.runs
                     if statement == LOAD.format(school)] for school in SCHOOLS}
    for at, _ in runs[leaving] if leaving else []:
        if at > left + GONE_FOR:
            violations.append(f"the load of {leaving} was begun {at - left:.3f} s after its client had gone")
    for school in loaded:
        schemas = [schema for _, schema in runs[school]]
        if schemas != [school]:
            violations.append(f"the load of {school} was answered as done, and ran {len(schemas)} times {schemas}")
    return violations


cases.main(__file__, body)
