"""Runs the project's programs as separate processes and writes the record of a case."""
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought into the state that it examines."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise CannotRun(f"not within {seconds} s: {what}")


def ask_admin(port, line, timeout=1.0):
    """Sends one line to an admin address; returns the response, or '' if there is none."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall(line.encode() + b"\n")
            text = b""
            while True:
                part = connection.recv(65536)
                if not part:
                    return text.decode()
                text += part
    except OSError:
        return ""


class Case:
    """One run of a case: its temporary folder, its record and its processes."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="rookproxy-review-"))
        self.record = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.processes = []
        self.closers = []
        self.note(f"disruption: {'yes' if self.trouble else 'no'}")

    def note(self, text):
        with self.lock:
            if not self.record.closed:
                self.record.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
                self.record.flush()

    def deploy_command(self, arguments=""):
        """The command `run` of the deploy file, with an operator's arguments appended."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        return (deploy["run"] + " " + arguments).strip()

    def launch(self, command, name, environment=None):
        """Starts a shell command from the root, in a session of its own."""
        log = open(self.temporary / f"{name}.log", "ab")
        env = dict(os.environ, TMPDIR=str(self.temporary), **(environment or {}))
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log, start_new_session=True)
        log.close()
        self.processes.append(process)
        self.note(f"started {name} (process {process.pid}): {command}")
        return process

    def log_of(self, name):
        path = self.temporary / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def close(self):
        for process in reversed(self.processes):
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    os.killpg(process.pid, number)
                except ProcessLookupError:
                    pass
            process.wait()
        for closer in self.closers:
            closer()
        for path in sorted(self.temporary.glob("*.log")):
            self.note(f"log of {path.stem}:")
            with self.lock:
                self.record.write(path.read_text(encoding="utf-8", errors="replace"))
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


def main(file, body, limit=110):
    """Runs `body(case)`, which returns the list of violations, and exits as the issue asks."""
    if not (ROOT / "build/rookproxy").exists():
        print("build/rookproxy is missing: build first", file=sys.stderr)
        sys.exit(NOT_RUN)
    case = Case(pathlib.Path(file).resolve().parent)

    def out_of_time():
        case.note("the case took too long")
        case.close()
        os._exit(NOT_RUN)

    def stopped(number, _):
        raise CannotRun(f"stopped by signal {number}")

    timer = threading.Timer(limit, out_of_time)
    timer.daemon = True
    timer.start()
    ends = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    for number in ends:
        signal.signal(number, stopped)
    code = NOT_RUN
    try:
        violations = body(case)
        for violation in violations:
            case.note(f"RULE BROKEN: {violation}")
            print(f"rule broken: {violation}")
        code = BROKEN if violations else HELD
        case.note(f"result: {'broken' if violations else 'held'}")
    except CannotRun as reason:
        case.note(f"could not run: {reason}")
        print(f"could not run: {reason}", file=sys.stderr)
    except Exception:
        case.note(traceback.format_exc())
        traceback.print_exc()
    timer.cancel()
    for number in ends:  # Nothing interrupts the end of the processes.
        signal.signal(number, signal.SIG_IGN)
    case.close()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
