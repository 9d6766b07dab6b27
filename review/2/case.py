"""An endpoint's answers arrive spoilt, and the relay is killed while it holds messages that got such an answer.
TROUBLE=0: neither. TROUBLE=noise and TROUBLE=kill: one of them alone. TROUBLE=long: a variant, in which the noise is plain
text but long, the messages are large, and ten more are handed in half a second before the kill."""

import os
import signal
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
LONG = TROUBLE == "long"
NOISE, KILL = TROUBLE in ("1", "noise", "long"), TROUBLE in ("1", "kill", "long")
WATCHED = 4 if LONG else 10  # messages for the partner whose answers are spoilt
BUDGET = 12.0  # the messages' time in seconds
USUAL_PER_S, USUAL_BODY, USUAL_FOR = 60.0, 10000, 4.0  # messages for another partner, meanwhile
DOWN = 0.6  # seconds from SIGKILL to the next start
SLACK, AFTER_READY = 0.35, 1.5  # of the rule on lost messages
SPOILT, SOUND = 7, 8  # destinations


class BulkEndpoint(world.Endpoint):
    """Takes several messages in a call. While `trouble`, its calls end with an error: said by 500 or the word `error`,
    or spoilt, by noise in the place of the status line or of that word. The calls have run."""

    trouble = True

    def handle(self, sock, line, fields, body):
        if not self.trouble:
            return super().handle(sock, line, fields, body)
        if not line.startswith("POST /inbox/bulk "):
            id = fields.get("x-call-id", "-")
            answer = b"\xff\xfe\x9c\x80 noise\r\n\r\n" if NOISE else world.answer_bytes(500)
            self.record("endpoint %s runs id=%s and answers %r" % (self.name, id, answer[:12]))
            sock.sendall(answer)
            return True
        ids, rest = [], body
        while rest:
            head, _, rest = rest.partition(b"\r\n")
            id, _, length = head.decode("latin-1").split(" ")
            ids.append(id)
            rest = rest[int(length) + 2:]
        word = b"\xff\xfe\x9c\x80" if NOISE else b"error"
        words = [word] * len(ids)
        if LONG:
            words = [b"#" * 63000] + [b"error"] * (len(ids) - 1)
        for id, word in zip(ids, words):
            self.record("endpoint %s runs id=%s and answers %r, %d bytes" % (self.name, id, word[:8], len(word)))
        time.sleep(self.delay)
        text = b"".join(id.encode("latin-1") + b" " + word + b"\r\n" for id, word in zip(ids, words))
        close = fields.get("connection", "").lower() == "close"
        sock.sendall(world.answer_bytes(200, (), text, close))
        return not close


def hand_in(relay, record, id, destination, body, results):
    at, status = time.monotonic(), None
    try:
        client = world.Client(relay)
        client.sock.sendall(world.request_bytes(id, destination, body, budget="%.3f" % BUDGET))
        status = client.answer()
        client.close()
    except OSError as e:
        record("client: id=%s: %s" % (id, e))
    record("client: id=%s, body of %d bytes: %s" % (id, len(body), status))
    results[id] = (at, status)


def main():
    record = world.Record("record.txt")
    record("TROUBLE=%s" % TROUBLE)
    discovery = world.Discovery(record)
    bulk = BulkEndpoint("e1", SPOILT, record)
    discovery.add(bulk, world.Endpoint("e2", SOUND, record), world.Endpoint("e3", SOUND, record))
    relay = world.Relay(record, discovery, world.settings(open_cap=200, workers=16, bundle=10, deadline_s=12))
    results, threads, ready_at = {}, [], 0.0

    def start(id, destination, body):
        threads.append(threading.Thread(target=hand_in, args=(relay, record, id, destination, body, results),
                                        daemon=True))
        threads[-1].start()

    try:
        relay.start()
        begin = time.monotonic()
        for i in range(WATCHED):
            start("watched-%d" % i, SPOILT, b"x" * (64000 if LONG and i > 0 else 100))
        n = 0
        while time.monotonic() < begin + USUAL_FOR:
            start("usual-%d" % n, SOUND, b"y" * USUAL_BODY)
            n += 1
            time.sleep(max(0.0, begin + n / USUAL_PER_S - time.monotonic()))
        if LONG:
            for i in range(10):
                start("late-%d" % i, SPOILT, b"z" * 100)
            time.sleep(0.5)
        for thread in threads:
            thread.join(1)
        if KILL:
            relay.signal(signal.SIGKILL)
            relay.process.wait()
            time.sleep(DOWN)
        bulk.trouble = False
        if KILL:
            relay.start()
            ready_at = time.monotonic()
        if relay.process.poll() is not None:
            raise RuntimeError("the relay ended")
        last = max(max(at for at, _ in results.values()) + BUDGET + SLACK, ready_at + AFTER_READY)
        time.sleep(max(0.0, last + 0.3 - time.monotonic()))
        for line in relay.log_lines('"event":"journal"|messages held'):
            record("relay log: " + line)
    finally:
        relay.clear()
    runs = [call for e in discovery.endpoints for call in e.calls]
    lost = []
    for id, (at, status) in sorted(results.items()):
        if status != 202:
            continue
        end = max(at + BUDGET + SLACK, ready_at + AFTER_READY)
        delivered = any(one == id and when <= end for when, one in runs)  # `calls` has those that were answered 200
        noticed = id in discovery.notices and discovery.notices[id][0] <= end
        if not delivered and not noticed:
            lost.append(id)
    record("taken on with 202: %d of %d" % (sum(s == 202 for _, s in results.values()), len(results)))
    record("neither delivered nor noticed in their time (%d): %s" % (len(lost), " ".join(lost)))
    record("RULE BROKEN" if lost else "the rule held")
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception:  # the case could not run
        traceback.print_exc()
        code = 2
    sys.exit(code)
