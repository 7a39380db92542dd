"""What the review's cases share: a record, a temporary folder, and processes that end with the case."""
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Case:
    """The record of one case, and what has to be removed at its end."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.violations = []
        self.record("with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")

    def record(self, line):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.monotonic() - self.started:8.3f} {line}\n")
                self.file.flush()

    def violation(self, line):
        self.violations.append(line)
        self.record("RULE BROKEN: " + line)

    def write(self, name, content):
        path = os.path.join(self.folder, name)
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(content)
        os.rename(path + ".new", path)
        return path

    def start(self, command, **environment):
        """Starts a command of the deploy file, as the platform does: from the root, by /bin/sh -c."""
        log = open(os.path.join(self.folder, f"log-{len(self.processes)}.txt"), "wb")
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, stdout=log, stderr=log, start_new_session=True,
                                   env={**os.environ, "TMPDIR": self.folder, **environment})
        log.close()
        self.processes.append(process)
        self.record(f"started: {command}")
        return process

    def end(self):
        for number, process in enumerate(self.processes):
            try:
                os.killpg(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            process.wait()
            with open(os.path.join(self.folder, f"log-{number}.txt"), encoding="utf-8", errors="replace") as log:
                for line in log:
                    self.record(f"log of process {number}: {line.rstrip()}")
        self.record(f"{len(self.violations)} violations")
        with self.lock:
            self.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def wait_for_port(port, seconds=10):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"nothing listens on port {port}")


def anonymous_mb(pid):
    """The memory of a process as the platform sees it, without the pages of files, in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("RssAnon")) / 1024


class Interrupted(Exception):
    """The case was told to end."""


def interrupt(number, _):
    raise Interrupted(f"signal {number}")


def run(folder, body):
    """Runs a case. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, interrupt)
    case = Case(folder)
    result = COULD_NOT_RUN
    try:
        body(case)
        result = BROKEN if case.violations else HELD
    except Exception as error:  # Whatever stops the case is no verdict on the rule.
        case.record(f"the case couldn't run: {type(error).__name__}: {error}")
    finally:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        case.record({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "no verdict"))
        case.end()
    sys.stdout.flush()
    os._exit(result)  # Threads of stand-ins may still wait.
