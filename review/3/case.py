"""A partner shuts for 8 s while clients send some large messages. TROUBLE=0: it does not."""

import os
import random
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTNERS, ENDPOINTS = 4, 2  # each partner gets a quarter of the messages; endpoints of a partner
SHUT, OPEN_AGAIN = 3.0, 11.0  # when the first partner shuts, in seconds from the start
SECONDS, PER_S = 32.0, 60.0  # how long clients send, and how many messages
LARGE, SMALL = 64000, 500  # bytes of the bodies, half of the messages each
BUDGET = 12.0
SPAN, LEAST = 4.0, 15  # the rule: rejects all that it gets, 15 or more, for 4 s on end


class Clients:
    """Each message is handed in on a connection of its own; its client waits 400 ms."""

    def __init__(self, relay, record):
        self.relay, self.record, self.results, self.threads = relay, record, [], []

    def start(self, id, destination, body):
        thread = threading.Thread(target=self.hand_in, args=(id, destination, body), daemon=True)
        thread.start()
        self.threads.append(thread)

    def hand_in(self, id, destination, body):
        at, status = time.monotonic(), None
        try:
            client = world.Client(self.relay)
            client.sock.sendall(world.request_bytes(id, destination, body, budget="%.3f" % BUDGET))
            status = client.answer()
            client.close()
        except OSError as e:
            self.record("client: id=%s: %s" % (id, e))
        self.record("client: id=%s for %d, body of %d bytes: %s" % (id, destination, len(body), status))
        self.results.append((at, id, status))


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
    endpoints = [world.Endpoint("e%d%d" % (p, e), p, record) for p in range(PARTNERS) for e in range(ENDPOINTS)]
    discovery.add(*endpoints)
    relay = world.Relay(record, discovery, world.settings(open_cap=200, workers=16, deadline_s=12))
    chance = random.Random(1)
    large, small = chance.randbytes(LARGE), chance.randbytes(SMALL)
    try:
        relay.start()
        begin = time.monotonic()

        def answer_of_first_partner(id):
            shut = TROUBLE and SHUT <= time.monotonic() - begin < OPEN_AGAIN
            record("partner 0 answers id=%s: %d" % (id, 503 if shut else 200))
            return (503 if shut else 200), []

        for e in endpoints[:ENDPOINTS]:
            e.decide = answer_of_first_partner
        clients = Clients(relay, record)
        n = 0
        while time.monotonic() < begin + SECONDS:
            clients.start("m%d" % n, chance.randrange(PARTNERS), chance.choice([large, small]))
            n += 1
            time.sleep(max(0.0, begin + n / PER_S - time.monotonic()))
        for thread in clients.threads:
            thread.join(2)
        if relay.process.poll() is not None:
            raise RuntimeError("the relay ended")
        record("the relay's readiness check says: %s" % ("ready" if relay.healthy() else "not ready"))
        for line in relay.log_lines('"event":"journal"')[:5]:
            record("relay log: " + line)
    finally:
        relay.clear()
    after = begin + OPEN_AGAIN
    late = [r for r in clients.results if r[0] >= after]
    span, count = longest_rejection(late, [c for e in endpoints for c in e.calls if c[0] >= after])
    taken = sum(status in (200, 202) for _, _, status in late)
    record("of the %d messages after the partner is open again %d were taken on" % (len(late), taken))
    record("longest span from then on in which all was rejected: %.1f s, %d messages" % (span, count))
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
