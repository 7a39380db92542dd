"""Case 10: two operators give conflicting commands for one instance; see claim.txt."""
import json
import os
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402
import harness  # noqa: E402
import mysql  # noqa: E402

LOAD = "INSERT INTO marks_11.marks (pupil, mark) VALUES ('{}', 7)"
CLIENTS = 16
ROUNDS = 16
LOAD_SECONDS = 0.3
# The second operator's command comes this long after the first one's.
SECONDS_BETWEEN_OPERATORS = 0.1
# A request that crosses the close of a connection is sent again by its client: the protocol's figure.
CROSSING_SECONDS = 0.05


class Tally:
    def __init__(self):
        self.answered = self.refused = 0


def send_loads(case, port, number, stop, tally):
    """One connection for each load, one after another."""
    count = 0
    while not stop.is_set():
        count += 1
        pupil = f"pupil-{number}-{count}"
        try:
            client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "")
        except (OSError, mysql.Closed, mysql.Refused) as error:
            case.record(f"client {number} can't log in: {error}")
            time.sleep(0.05)
            continue
        case.record(f"client {number} sends the load of {pupil}")
        sent_at = time.monotonic()
        try:
            client.query(LOAD.format(pupil))
            tally.answered += 1
            case.record(f"the load of {pupil} is answered")
        except mysql.Refused as error:
            tally.refused += 1
            case.record(f"the load of {pupil}: {error}")
        except mysql.Closed as error:
            elapsed = time.monotonic() - sent_at
            case.record(f"the load of {pupil}: no answer, its connection ended after {elapsed:.3f} s: {error}")
            if elapsed > CROSSING_SECONDS:
                case.violation(f"the load of {pupil} got no answer")
        client.vanish()


def control(case, *words):
    socket_path = os.path.join(case.folder, "agent.sock")
    done = subprocess.run([os.path.join(harness.ROOT, "build", "rookproxyctl"), "--socket", socket_path, *words],
                          capture_output=True, text=True, timeout=60, check=False)
    said = (done.stdout + done.stderr).strip().splitlines()
    if words[-2:-1] != ("status",):
        case.record(f"operator: {' '.join(words)}: exit {done.returncode}: {said[-1] if said else ''}")
    return done.stdout


def wait_until_settled(case):
    end = time.monotonic() + 60
    while time.monotonic() < end:
        status = json.loads(control(case, "--json", "status", "records-1") or "{}")
        for instance in status.get("instances", []):
            if instance["state"] == "running" and instance["upgrade"] != "in progress":
                return
        time.sleep(0.1)
    raise RuntimeError("the instance does not settle")


def body(case):
    engines = [mysql.Engine(f"engine-{number}", case.record, run_time=lambda statement: LOAD_SECONDS)
               for number in (1, 2)]
    port, ops = harness.free_port(), (harness.free_port(), harness.free_port())
    path = case.write("mysql.toml", deployment.operators_file(
        port, [(engine.name, engine.port, "up") for engine in engines], folder=case.folder, passed=True))
    agent = case.write("agent.toml", deployment.agents_file(case.folder, path, port, ops))
    case.start(f"exec build/rookproxy-agent --file {agent}")
    harness.wait_for_port(ops[0])
    stop, tally = threading.Event(), Tally()
    threads = [threading.Thread(target=send_loads, args=(case, port, number, stop, tally), daemon=True)
               for number in range(1, CLIENTS + 1)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    for _ in range(ROUNDS):
        control(case, "upgrade", "records-1")
        if harness.TROUBLE:
            time.sleep(SECONDS_BETWEEN_OPERATORS)
            control(case, "restart", "records-1")
        wait_until_settled(case)
        time.sleep(1.5)
    stop.set()
    for thread in threads:
        thread.join(10)
    ran = [what for engine in engines for what in engine.ran]
    for what in sorted(set(ran)):
        if ran.count(what) > 1:
            case.violation(f"ran {ran.count(what)} times: {what}")
    case.record(f"{tally.answered} loads answered, {tally.refused} refused or failed, {len(ran)} ran")
    if tally.answered < 100:
        raise RuntimeError("too few loads were answered")


harness.run(FOLDER, body)
