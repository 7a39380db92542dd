"""Case 6: the dispatcher crashes after clients have left; see claim.txt."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402
import harness  # noqa: E402
import mysql  # noqa: E402

LOOKUP = "SELECT mark FROM marks_11.marks WHERE pupil = ? AND subject = {}"
LOAD = "INSERT INTO marks_11.marks (pupil, mark) VALUES (?, {})"
# The statements that the school's client has prepared.
SUBJECTS = 100
ROUNDS = 6
LEAVING_IN_ROUND = 8
# The time that an engine takes for the PREPARE of a load.
PREPARE_SECONDS = 0.15
# A client that leaves closes its connection this long after it has sent its PREPARE, ...
PATIENCE = 0.06
# ... and the school looks a mark up this long after that.
PAUSE = 0.02


def prepare_time(statement):
    return PREPARE_SECONDS if statement.startswith("INSERT") else 0.0


def leave(case, port, number):
    client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "")
    case.record(f"client {number} prepares a load")
    if harness.TROUBLE:
        client.start_prepare(LOAD.format(number))
        time.sleep(PATIENCE)
        client.vanish()
        case.record(f"client {number} has closed its connection")
    else:
        client.prepare(LOAD.format(number))
        client.vanish()
        case.record(f"client {number} is answered and closes its connection")
    time.sleep(PAUSE)


def look_up(case, school, statement, pupil):
    case.record(f"the school looks {pupil} up")
    try:
        school.execute(statement, [pupil])
        case.record("it is answered")
    except mysql.Refused as error:
        case.record(f"it is answered: {error}")


def body(case):
    engines = [mysql.Engine(f"engine-{number}", case.record, prepare_time=prepare_time) for number in (1, 2)]
    port = harness.free_port()
    path = case.write("mysql.toml", deployment.operators_file(
        port, [(engine.name, engine.port, "up") for engine in engines]))
    dispatcher = case.start(f"exec build/rookproxy --file {path}")
    harness.wait_for_port(port)
    school = mysql.Client(port, deployment.USER, deployment.PASSWORD, "")
    try:
        statements = [school.prepare(LOOKUP.format(subject))[0] for subject in range(SUBJECTS)]
        for number in range(ROUNDS):
            for statement in statements:
                look_up(case, school, statement, f"pupil-{number}")
            for leaving in range(LEAVING_IN_ROUND):
                leave(case, port, number * LEAVING_IN_ROUND + leaving)
                look_up(case, school, statements[-1 - leaving], f"pupil-{number}-{leaving}")
    except mysql.Closed as error:
        case.record(f"the school's connection ended: {error}")
    except OSError as error:
        case.record(f"no connection: {error}")
    time.sleep(0.5)
    ended = dispatcher.poll()
    if ended is not None:
        case.violation(f"the dispatcher has crashed: it ended with {'signal' if ended < 0 else 'code'} {abs(ended)}")


harness.run(FOLDER, body)
