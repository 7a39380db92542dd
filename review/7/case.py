"""Case 7: clients leave while their statement waits for its engine; see claim.txt."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402
import harness  # noqa: E402
import mysql  # noqa: E402

SCHOOLS = ["marks_11", "marks_12", "marks_13", "marks_14"]
LOOKUP = "SELECT mark FROM marks WHERE pupil = '{}'"
LOAD = "INSERT INTO marks (pupil, mark) VALUES ('{}', 7)"
ROUNDS = 16
# A client that leaves closes its connection this long after it has sent its statement, ...
PATIENCE = 0.06
# ... and the others send theirs this long after that, when the engines have nothing to do any more.
PAUSE = 0.5
INIT_DB_SECONDS = 0.12


def delay(command):
    return INIT_DB_SECONDS if command == mysql.COM_INIT_DB else 0.0


def connect(port, school):
    return mysql.Client(port, deployment.USER, deployment.PASSWORD, school)


def leave(case, port, number, sent):
    """In turns with a lookup and with a load."""
    school = SCHOOLS[number // 2 % len(SCHOOLS)]
    client = connect(port, school)
    statement = (LOAD if number % 2 else LOOKUP).format(f"{school}-leaving-{number}")
    sent.add(f"{school}|{statement}|")
    case.record(f"a client of {school} sends: {statement}")
    client.start_query(statement)
    if harness.TROUBLE:
        time.sleep(PATIENCE)
        client.vanish()
        case.record("it has closed its connection")
    else:
        client.packets.read()
        client.vanish()
        case.record("it is answered and closes its connection")


def ask(case, client, school, number, sent):
    statement = LOOKUP.format(f"{school}-{number}")
    case.record(f"the client of {school} sends: {statement}")
    answer = client.query(statement)
    case.record(f"it is served {answer!r}")
    if answer != f"{school}|{statement}|":
        case.violation(f"the client of {school} was served {answer!r}")
    statement = LOAD.format(f"{school}-{number}")
    sent.add(f"{school}|{statement}|")
    case.record(f"the client of {school} sends: {statement}")
    client.query(statement)
    case.record("it is answered")


def body(case):
    engines = [mysql.Engine(f"engine-{number}", case.record, delay) for number in (1, 2)]
    port = harness.free_port()
    path = case.write("mysql.toml", deployment.operators_file(
        port, [(engine.name, engine.port, "up") for engine in engines]))
    case.start(f"exec build/rookproxy --file {path}")
    harness.wait_for_port(port)
    sent = set()
    clients = [(connect(port, school), school) for school in SCHOOLS]
    for number in range(ROUNDS):
        for client, school in clients:
            ask(case, client, school, number, sent)
        clients.reverse()  # The last one to ask before a client leaves is the first one after that.
        leave(case, port, number, sent)
        time.sleep(PAUSE)
    for what in [what for engine in engines for what in engine.ran if "INSERT" in what]:
        if what not in sent:
            case.violation(f"an engine ran a load in a schema for which no client sent it: {what}")
    total = sum(len(engine.ran) for engine in engines)
    case.record(f"{len(sent)} statements of loads and of clients that leave sent, {total} statements ran in all")


harness.run(FOLDER, body)
