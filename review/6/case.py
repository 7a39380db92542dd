"""Case 6: clients vanish halfway through executing a load; see claim.txt."""
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402
import harness  # noqa: E402
import mysql  # noqa: E402

SCHEMAS = ["marks_11", "marks_12", "marks_13", "marks_14"]
LOOKUP = "SELECT mark FROM {}.marks WHERE pupil = ? AND term = ?"
LOAD = "INSERT INTO {}.marks (pupil, mark) VALUES (?, ?)"
LOOKUP_CLIENTS = 12
LOADS = 16
SECONDS_BETWEEN_LOADS = 0.5
# A client that gives up waits for this long after it has sent the execution.
PATIENCE = 0.06
PREPARE_SECONDS, LOOKUP_SECONDS, LOAD_SECONDS = 0.15, 0.03, 0.05


def delay(command):
    return PREPARE_SECONDS if command == mysql.COM_PREPARE else 0.0


def run_time(statement):
    return LOOKUP_SECONDS if statement.startswith("SELECT") else LOAD_SECONDS


def look_up(case, port, number, stop):
    draw = random.Random(number)
    text = LOOKUP.format(SCHEMAS[number % len(SCHEMAS)])
    client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "")
    statement = client.prepare(text)[0]
    count = 0
    while not stop.is_set():
        count += 1
        values = [f"pupil-{number}-{count}", f"term-{count}"]
        expected = f"|{text}|{','.join(values)}"
        case.record(f"client {number} sends a lookup of {values}")
        try:
            answer = client.execute(statement, values)
        except mysql.Refused as error:
            case.record(f"client {number}: {error}")
            continue
        case.record(f"client {number} is answered: {answer!r}")
        if answer != expected:
            case.violation(f"client {number} looked up {values} and was served {answer!r}")
        time.sleep(draw.uniform(0, 0.02))


def load(case, port, number, sent):
    client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "")
    try:
        statement = client.prepare(LOAD.format(SCHEMAS[number % len(SCHEMAS)]))[0]
        values = [f"pupil-of-load-{number}", f"mark-{number}"]
        sent.add(",".join(values))
        case.record(f"load {number} is sent: {values}")
        client.start_execute(statement, values)
        if harness.TROUBLE:
            time.sleep(PATIENCE)
            client.vanish()
            case.record(f"the client of load {number} has closed its connection")
        else:
            client.packets.read()
            case.record(f"load {number} is answered")
            client.vanish()
    except mysql.Refused as error:
        case.record(f"load {number}: {error}")


def body(case):
    engines = [mysql.Engine(f"engine-{number}", case.record, delay, run_time) for number in (1, 2)]
    port = harness.free_port()
    path = case.write("mysql.toml", deployment.operators_file(
        port, [(engine.name, engine.port, "up") for engine in engines]))
    case.start(f"exec build/rookproxy --file {path}")
    harness.wait_for_port(port)
    stop = threading.Event()
    threads = [threading.Thread(target=look_up, args=(case, port, number, stop), daemon=True)
               for number in range(1, LOOKUP_CLIENTS + 1)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    sent = set()
    for number in range(1, LOADS + 1):
        threading.Thread(target=load, args=(case, port, number, sent), daemon=True).start()
        time.sleep(SECONDS_BETWEEN_LOADS)
    time.sleep(1)
    stop.set()
    for thread in threads:
        thread.join(5)
    ran = [what.split("|")[2] for engine in engines for what in list(engine.ran) if "INSERT" in what]
    for values in sorted(set(ran)):
        if values not in sent:
            case.violation(f"an engine ran the load ({values}), which no client sent")
        if ran.count(values) > 1:
            case.violation(f"the load ({values}) ran {ran.count(values)} times")
    total = sum(len(engine.ran) for engine in engines)
    case.record(f"{len(sent)} loads sent, {len(ran)} ran, {total} statements in all")
    if total < 100:
        raise RuntimeError("too few statements ran")


harness.run(FOLDER, body)
