"""Case 8: a statement is prepared on an engine that drains before the statement executes; see claim.txt."""
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402
import harness  # noqa: E402
import mysql  # noqa: E402

LOOKUP = "SELECT mark FROM marks WHERE pupil = ?"
SCHOOLS = [f"marks_{number}" for number in range(11, 31)]
# The drain's grace is 2 s; the statement executes after that, when nothing may go to the engine any more.
SECONDS_AFTER_DRAIN = 3


class School:
    """One client of one school, and its prepared lookup."""

    def __init__(self, case, port, engines, schema):
        self.case, self.engines, self.schema = case, engines, schema
        self.client = mysql.Client(port, schema, deployment.PASSWORD, schema)
        self.count = 0

    def prepare(self):
        self.case.record(f"the client of {self.schema} prepares: {LOOKUP}")
        self.statement = self.client.prepare(LOOKUP)[0]

    def look_up(self):
        """Returns the engine that ran the lookup."""
        self.count += 1
        pupil = f"pupil-{self.schema}-{self.count}"
        expected = f"{self.schema}|{LOOKUP}|{pupil}"
        before = [len(engine.ran) for engine in self.engines]
        answer = self.client.execute(self.statement, [pupil])
        self.case.record(f"the client of {self.schema} looks up {pupil} and is served {answer!r}")
        if answer != expected:
            self.case.violation(f"the client of {self.schema} was served {answer!r}")
        return next(engine for engine, ran in zip(self.engines, before) if len(engine.ran) > ran)


def body(case):
    engines = [mysql.Engine(f"engine-{number}", case.record) for number in (1, 2)]
    port = harness.free_port()

    def write_file(drained):
        listed = [(engine.name, engine.port, "draining" if engine is drained else "up") for engine in engines]
        return case.write("mysql.toml", deployment.operators_file(port, listed, SCHOOLS))

    path = write_file(None)
    dispatcher = case.start(f"exec build/rookproxy --file {path}")
    harness.wait_for_port(port)
    # Two schools whose tables the dispatcher reads on different engines.
    first = School(case, port, engines, SCHOOLS[0])
    first.prepare()
    home = first.look_up()
    for schema in SCHOOLS[1:]:
        second = School(case, port, engines, schema)
        second.prepare()
        if second.look_up() is not home:
            break
        first.prepare()
        if first.look_up() is not home:
            raise RuntimeError("the first school's lookups moved to another engine")
    else:
        raise RuntimeError("all schools' lookups ran on one engine")
    for school in (first, second, first, second):
        school.prepare()
        school.look_up()
    # A new configuration never comes in a dispatcher's first second.
    time.sleep(1.5)
    # The second school's statement is prepared on the other engine.
    second.prepare()
    if harness.TROUBLE:
        other = next(engine for engine in engines if engine is not home)
        write_file(other)
        os.kill(dispatcher.pid, signal.SIGHUP)
        case.record(f"{other.name} drains: a new configuration and SIGHUP")
    time.sleep(SECONDS_AFTER_DRAIN)
    for _ in range(3):
        second.look_up()
        first.look_up()


harness.run(FOLDER, body)
