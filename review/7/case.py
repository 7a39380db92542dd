"""Case 7: answers of engines arrive spoilt: one is said to be long and keeps coming; see claim.txt."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment  # noqa: E402
import harness  # noqa: E402
import mysql  # noqa: E402

LOOKUP = "SELECT mark FROM marks_11.marks WHERE pupil = 'pupil-{}-{}'"
CLIENTS = 12
SECONDS = 40
# Every fiftieth answer is spoilt.
SPOILT = 50
LOOKUP_SECONDS = 0.05
# Twelve clients with this pause send some 80 lookups a second.
PAUSE = 0.1
# The settings' limit: over it the platform kills the dispatcher.
MEMORY_MB = 192
ROW_SIZE = 16 * 1024 * 1024 - 2
PART_SIZE = 256 * 1024
SECONDS_BETWEEN_PARTS = 0.02


def send_endless_row(packets):
    """A row whose packet is said to have almost 16 MB and keeps coming."""
    packets.write(b"\1", mysql.column("answer"), mysql.EOF_PACKET)
    header = ROW_SIZE.to_bytes(3, "little") + bytes([packets.sequence])
    try:
        packets.sock.sendall(header)
        for _ in range(ROW_SIZE // PART_SIZE):
            packets.sock.sendall(b"x" * PART_SIZE)
            time.sleep(SECONDS_BETWEEN_PARTS)
        while packets.sock.recv(4096):
            pass
    except OSError as error:
        raise mysql.Closed(str(error)) from error
    raise mysql.Closed("closed")


def look_up(case, port, number, stop, tally):
    client, count = None, 0
    while not stop.is_set():
        count += 1
        if client is None:
            client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "", 10)
        statement = LOOKUP.format(number, count)
        case.record(f"client {number} sends: {statement}")
        try:
            case.record(f"client {number} is served {client.query(statement)!r}")
            tally.append(statement)
            time.sleep(PAUSE)
        except mysql.Refused as error:
            case.record(f"client {number}: {error}")
        except (mysql.Closed, IndexError, UnicodeDecodeError) as error:
            case.record(f"client {number}: {type(error).__name__} {error}")
            client.vanish()
            client = None


def body(case):
    lock = threading.Lock()
    counts = {"lookups": 0}

    def spoils(statement):
        with lock:
            counts["lookups"] += 1
            return send_endless_row if harness.TROUBLE and counts["lookups"] % SPOILT == 0 else None

    engines = [mysql.Engine(f"engine-{number}", case.record, run_time=lambda statement: LOOKUP_SECONDS, spoils=spoils)
               for number in (1, 2)]
    port = harness.free_port()
    path = case.write("mysql.toml", deployment.operators_file(
        port, [(engine.name, engine.port, "up") for engine in engines]))
    dispatcher = case.start(f"exec build/rookproxy --file {path}")
    harness.wait_for_port(port)
    stop, tally = threading.Event(), []
    threads = [threading.Thread(target=look_up, args=(case, port, number, stop, tally), daemon=True)
               for number in range(1, CLIENTS + 1)]
    for thread in threads:
        thread.start()
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
