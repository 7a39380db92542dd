"""Case 8: clients send large parameters and execute nothing; see claim.txt."""
import os
import struct
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402
import harness  # noqa: E402
import mysql  # noqa: E402

LOOKUP = "SELECT mark FROM marks_11.marks WHERE pupil = 'pupil-{}'"
LOAD = "INSERT INTO marks_11.essays_{} (pupil, essay) VALUES (?, ?)"
BAD_CLIENTS = 4
# 15 statements with an essay of almost 4 MB each: a body of 60 MB.
STATEMENTS = 15
PART_SIZE = 1024 * 1024 - 64
PARTS = 4
SECONDS = 20
# The settings' limit: over it the platform kills the dispatcher.
MEMORY_MB = 192


def send_essays(case, port, number):
    try:
        client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "")
        for essay in range(STATEMENTS):
            statement = client.prepare(LOAD.format(essay))[0]
            for _ in range(PARTS):
                client.send_long_data(struct.pack("<IH", statement, 1) + b"e" * PART_SIZE)
        case.record(f"bad client {number} has sent {STATEMENTS * PARTS} MB")
        time.sleep(SECONDS)
    except (mysql.Closed, mysql.Refused) as error:
        case.record(f"bad client {number}: {error}")


def look_up(case, port, stop, tally):
    client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "")
    while not stop.is_set():
        try:
            client.query(LOOKUP.format(len(tally)))
            tally.append(True)
        except mysql.Refused as error:
            case.record(f"the usual client: {error}")
        time.sleep(0.05)


def body(case):
    engines = [mysql.Engine(f"engine-{number}", case.record) for number in (1, 2)]
    port = harness.free_port()
    path = case.write("mysql.toml", deployment.operators_file(
        port, [(engine.name, engine.port, "up") for engine in engines]))
    dispatcher = case.start(f"exec build/rookproxy --file {path}")
    harness.wait_for_port(port)
    stop, tally = threading.Event(), []
    threading.Thread(target=look_up, args=(case, port, stop, tally), daemon=True).start()
    time.sleep(1)
    for number in range(BAD_CLIENTS if harness.TROUBLE else 0):
        threading.Thread(target=send_essays, args=(case, port, number), daemon=True).start()
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        time.sleep(0.2)
        used = harness.anonymous_mb(dispatcher.pid)
        case.record(f"the dispatcher uses {used:.0f} MB")
        if used > MEMORY_MB:
            case.violation(f"the dispatcher uses {used:.0f} MB of {MEMORY_MB} MB: the platform kills it")
            break
    stop.set()
    case.record(f"{len(tally)} lookups served")
    if len(tally) < 10:
        raise RuntimeError("too few lookups were served")


harness.run(FOLDER, body)
