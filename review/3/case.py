"""A relay is held up for less than 0.15 s while large messages arrive. TROUBLE=0: it is not held up."""

import os
import signal
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEFORE, BURST, BODY = 9, 14, 64000
HOLD, HOLD_MOST = 0.13, 0.15  # seconds
USUAL, USUAL_PER_S = 400, 20.0  # messages after that
SPAN, LEAST = 4.0, 15  # the rule: rejects all that it gets, 15 or more, for 4 s on end
GROUP = 7


class Clients:
    """Each message is handed in on a connection of its own; its client waits 400 ms."""

    def __init__(self, relay, record):
        self.relay, self.record, self.results, self.threads = relay, record, [], []

    def start(self, id, body):
        thread = threading.Thread(target=self.hand_in, args=(id, body), daemon=True)
        thread.start()
        self.threads.append(thread)

    def hand_in(self, id, body):
        at, status = time.monotonic(), None
        try:
            client = world.Client(self.relay)
            client.sock.sendall(world.request_bytes(id, GROUP, body))
            self.record("client: sent id=%s, body of %d bytes" % (id, len(body)))
            status = client.answer()
            client.close()
        except OSError as e:
            self.record("client: id=%s: %s" % (id, e))
        self.record("client: answer to id=%s: %s" % (id, status))
        self.results.append((at, id, status))


def pace(start, n, per_s):
    time.sleep(max(0.0, start + n / per_s - time.monotonic()))


def longest_rejection(results, attempts):
    """The longest span, with its messages, in which all were rejected and no attempt was made."""
    best, first, count = (0.0, 0), None, 0
    events = sorted([(at, status in (200, 202)) for at, _, status in results] + [(at, True) for at, _ in attempts])
    for at, ends in events:
        if ends:
            first, count = None, 0
            continue
        first = at if first is None else first
        count += 1
        best = max(best, (at - first, count))
    return best


def main():
    record = world.Record("record.txt")
    record("TROUBLE=%d" % TROUBLE)
    discovery = world.Discovery(record)
    endpoints = [world.Endpoint("e%d" % i, GROUP, record) for i in range(4)]
    discovery.add(*endpoints)
    relay = world.Relay(record, discovery, world.settings(open_cap=200, workers=16))
    body = os.urandom(BODY)
    held = 0.0
    try:
        relay.start()
        clients = Clients(relay, record)
        for i in range(BEFORE):
            clients.start("before-%d" % i, body)
            time.sleep(0.06)
        time.sleep(0.3)
        start = time.monotonic()
        if TROUBLE:
            relay.signal(signal.SIGSTOP)
        for i in range(BURST):
            clients.start("burst-%d" % i, body)
            pace(start, i + 1, (BURST + 1) / HOLD)
        pace(start, HOLD, 1.0)
        if TROUBLE:
            relay.signal(signal.SIGCONT)
            held = time.monotonic() - start
            record("held up for %.3f s" % held)
        time.sleep(0.5)
        usual_from = time.monotonic()
        for i in range(USUAL):
            clients.start("usual-%d" % i, b"x" * 200)
            pace(usual_from, i + 1, USUAL_PER_S)
        for thread in clients.threads:
            thread.join(2)
        if relay.process.poll() is not None:
            raise RuntimeError("the relay ended")
        record("the relay's readiness check says: %s" % ("ready" if relay.healthy() else "not ready"))
        for line in relay.log_lines('"event":"journal"')[:5]:
            record("relay log: " + line)
    finally:
        relay.clear()
    if held > HOLD_MOST:
        record("held up for longer than the pages say: no result")
        return 2
    attempts = [call for e in endpoints for call in e.calls]
    usual = [r for r in clients.results if r[0] >= usual_from]
    span, count = longest_rejection(usual, [a for a in attempts if a[0] >= usual_from])
    taken = sum(status in (200, 202) for _, _, status in usual)
    record("of the %d usual messages afterwards %d were taken on" % (len(usual), taken))
    record("longest span in which all was rejected: %.1f s, %d messages" % (span, count))
    broken = span >= SPAN and count >= LEAST
    record("RULE BROKEN" if broken else "the rule held")
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception:  # the case could not run
        traceback.print_exc()
        code = 2
    sys.exit(code)
