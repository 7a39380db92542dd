"""A statement is prepared on an engine that then drains before the statement executes."""
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case as cases  # noqa: E402
from standins.directory import Directory  # noqa: E402
from standins.mysql import Client, Engine, MysqlError  # noqa: E402
from standins.settings import settings  # noqa: E402

STATEMENT = "SELECT mark FROM marks"
ADDIS = [f"marks_{group}" for group in range(1, 13)]  # schemas of the tenant addis
GONDAR = [f"marks_{group}" for group in range(41, 53)]  # schemas of the tenant gondar

OPERATORS_FILE = """
link = "mysql"
[mysql]
listen = "127.0.0.1:{port}"
read_class = "lookup"
load_class = "load"
[mysql.users]
addis-records = "a-secret"
gondar-records = "g-secret"
[mysql_engines]
user = "rookproxy"
password = "engine-secret"
[access]
[[access.roles]]
name = "teacher"
classes = ["lookup"]
[[access.tenants]]
name = "addis"
schemas = ["marks_*"]
groups = ["1-40"]
[[access.tenants]]
name = "gondar"
schemas = ["marks_*"]
groups = ["41-60"]
[[access.users]]
name = "addis-records"
tenant = "addis"
roles = ["teacher"]
[[access.users]]
name = "gondar-records"
tenant = "gondar"
roles = ["teacher"]
"""


def body(case):
    tables = {(schema, "marks"): [f"mark of {schema}"] for schema in ADDIS + GONDAR}
    engines = {name: Engine(name, case.note, tables) for name in ("s-1", "s-2")}
    directory = Directory(case.note)
    case.closers += [engine.close for engine in engines.values()] + [directory.close]
    for name, engine in engines.items():
        directory.set(name, engine.port)
    port, ops = cases.free_port(), cases.free_port()
    (case.temporary / "config.json").write_text(json.dumps({
        "name": "n1", "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "nameserver": f"127.0.0.1:{directory.port}", "known": directory.known(), "settings": settings("off")}))
    (case.temporary / "mysql.toml").write_text(OPERATORS_FILE.format(port=port))
    case.launch(case.deploy_command(f"--file {case.temporary}/mysql.toml"), "dispatcher",
                {"NODE_NAME": "n1", "NODE_CONFIG": f"{case.temporary}/config.json", "NODE_OPS": f"127.0.0.1:{ops}"})
    cases.wait_for(lambda: cases.ask_admin(ops, "STATUS").startswith("+OK"), 10, "the dispatcher is ready")

    def schemas_prepared_at(engine):
        return {schema for _, schema, statement in engine.prepares if statement == STATEMENT}

    # The schools of addis look up their marks, each in its own schema, and all with the same statement.
    for schema in ADDIS:
        client = Client(port, "addis-records", "a-secret", schema, case.note)
        if client.execute(client.prepare(STATEMENT)) != [f"mark of {schema}"]:
            return [f"addis-records, schema {schema}: rows of another schema, before any disruption"]
        client.close()
    if not all(schemas_prepared_at(engine) for engine in engines.values()):
        raise cases.CannotRun("all schools were served by one engine")

    # A school of gondar prepares the same statement. The engine that prepared it drains before it is executed.
    schema = GONDAR[0]
    client = Client(port, "gondar-records", "g-secret", schema, case.note)
    number = client.prepare(STATEMENT)
    name = next(name for name, engine in engines.items() if schema in schemas_prepared_at(engine))
    case.note(f"prepared on {name}")
    if case.trouble:
        directory.change(name, state="draining")
    time.sleep(3)
    expected = [f"mark of {schema}"]
    try:
        rows = client.execute(number)
    except MysqlError:
        rows = expected  # Refused or failed: allowed.
    client.close()
    if rows != expected:
        return [f"gondar-records, schema {schema}: was answered {rows} instead of {expected}"]
    return []


cases.main(__file__, body)
