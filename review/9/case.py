"""Case 9: answers of engines arrive spoilt; see claim.txt."""
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
CLIENTS = 8
LOOKUPS = 20
# Every tenth answer is spoilt.
SPOILT = 10
LOOKUP_SECONDS = 0.05
# The deadline of a lookup is 3 s. An answer that comes up to half a second later only earns nothing, and every time
# limit is lengthened by 50 ms.
ANSWER_SECONDS = 3 + 0.5 + 0.05


def send_empty_row(packets):
    packets.write(b"\1", mysql.column("answer"), mysql.EOF_PACKET, b"", mysql.EOF_PACKET)


def look_up(case, port, number, tally):
    client = None
    for count in range(1, LOOKUPS + 1):
        if client is None:
            client = mysql.Client(port, deployment.USER, deployment.PASSWORD, "", ANSWER_SECONDS)
            client.query("SET autocommit = 0")
        statement = LOOKUP.format(number, count)
        case.record(f"client {number} sends: {statement}")
        sent_at = time.monotonic()
        try:
            answer = client.query(statement)
            case.record(f"client {number} is served {answer!r}")
            tally.append(statement)
            continue
        except mysql.Refused as error:
            case.record(f"client {number}: {error}")
            tally.append(statement)
            continue
        except mysql.Closed as error:
            elapsed = time.monotonic() - sent_at
            case.record(f"client {number}: {error} after {elapsed:.3f} s")
            if elapsed >= ANSWER_SECONDS:
                case.violation(f"client {number} got no answer within {elapsed:.2f} s: {statement}")
        except (IndexError, UnicodeDecodeError) as error:
            case.record(f"client {number} can tell that its answer is spoilt: {type(error).__name__}")
            tally.append(statement)
        client.vanish()
        client = None


def body(case):
    lock = threading.Lock()
    counts = {"lookups": 0}

    def spoils(statement):
        with lock:
            counts["lookups"] += 1
            return send_empty_row if harness.TROUBLE and counts["lookups"] % SPOILT == 0 else None

    engines = [mysql.Engine(f"engine-{number}", case.record, run_time=lambda statement: LOOKUP_SECONDS, spoils=spoils)
               for number in (1, 2)]
    port = harness.free_port()
    path = case.write("mysql.toml", deployment.operators_file(
        port, [(engine.name, engine.port, "up") for engine in engines]))
    case.start(f"exec build/rookproxy --file {path}")
    harness.wait_for_port(port)
    tally = []
    threads = [threading.Thread(target=look_up, args=(case, port, number, tally), daemon=True)
               for number in range(1, CLIENTS + 1)]
    for thread in threads:
        thread.start()
    end = time.monotonic() + 80
    for thread in threads:
        thread.join(max(0.0, end - time.monotonic()))
    case.record(f"{len(tally)} of {CLIENTS * LOOKUPS} lookups answered")
    if not tally:
        raise RuntimeError("no lookup was answered")


harness.run(FOLDER, body)
