"""A client hands in many messages at once on one connection. TROUBLE=0: one after the other."""

import os
import sys
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS, NESTED_CLIENTS, MESSAGES, BODY = 2, 5, 24, 2000
BUDGET = 6.0  # seconds; also the deadline of the class
ANSWER_SLACK = 0.5  # a request's answer may come so much after its time
END_SLACK = 0.35  # a message's delivery or notice: 300 ms, and 50 ms as every time limit on sockets
LISTED, UNLISTED = 7, 9  # destinations; of the second no endpoint is listed yet


class Sent:
    def __init__(self, id, at):
        self.id, self.at, self.status, self.answered_at = id, at, None, None


def hand_in(relay, record, name, requests):
    """Hands in the requests on one connection; the n-th answer is that of the n-th request."""
    client = world.Client(relay, timeout=BUDGET + ANSWER_SLACK)
    sent = []

    def take_answer(one):
        client.sock.settimeout(max(0.01, one.at + BUDGET + ANSWER_SLACK - time.monotonic()))
        one.status = client.answer()
        one.answered_at = time.monotonic()
        record("%s: answer to id=%s: %s" % (name, one.id, one.status))
        return one.status is not None

    if TROUBLE:
        client.sock.sendall(b"".join(data for _, data in requests))
        now = time.monotonic()
        for id, data in requests:
            record("%s: sent id=%s, %d bytes" % (name, id, len(data)))
            sent.append(Sent(id, now))
        for one in sent:
            if not take_answer(one):
                break
    else:
        for id, data in requests:
            client.sock.sendall(data)
            record("%s: sent id=%s, %d bytes" % (name, id, len(data)))
            sent.append(Sent(id, time.monotonic()))
            take_answer(sent[-1])
    client.close()
    return sent


def plain_requests(name):
    """Messages for one destination; the first one is for another, whose endpoint is not listed yet."""
    ids = ["%s-%d" % (name, i) for i in range(MESSAGES)]
    return [(id, world.request_bytes(id, UNLISTED if i == 0 else LISTED, b"%c" % (97 + i) * BODY))
            for i, id in enumerate(ids)]


def nested_requests(name):
    """The same with three messages. The second one's body holds text that looks like a request, at the place at
    which the relay's second read from the socket begins."""
    inner = world.request_bytes("never-handed-in-" + name, LISTED, b"text")
    first = world.request_bytes(name + "-0", UNLISTED, b"x")
    empty = world.request_bytes(name + "-1", LISTED, b"." * 60000)
    head = empty[:-60000]
    body = b"." * (32768 - len(first) - len(head)) + inner
    body += b"." * (60000 - len(body))
    return [(name + "-0", first), (name + "-1", head + body),
            (name + "-2", world.request_bytes(name + "-2", LISTED, b"x"))]


def main():
    record = world.Record("record.txt")
    record("TROUBLE=%d" % TROUBLE)
    discovery = world.Discovery(record)
    endpoints = [world.Endpoint("e1", LISTED, record), world.Endpoint("e2", LISTED, record)]
    discovery.add(*endpoints)
    relay = world.Relay(record, discovery, world.settings(deadline_s=6))
    try:
        relay.start()
        sent = []
        for c in range(CLIENTS):
            sent += hand_in(relay, record, "client-%d" % c, plain_requests("c%d" % c))
        for c in range(NESTED_CLIENTS):
            sent += hand_in(relay, record, "client-n%d" % c, nested_requests("n%d" % c))
        if relay.process.poll() is not None:
            raise RuntimeError("the relay ended")
        time.sleep(max(0.0, max(one.at for one in sent) + BUDGET + END_SLACK + 0.2 - time.monotonic()))
    finally:
        relay.clear()
    runs = [call for e in endpoints for call in e.calls]
    handed_in = {one.id for one in sent}
    unanswered = [one.id for one in sent if one.status is None]
    lost = []
    for one in sent:
        if one.status not in (200, 202):
            continue
        end = one.at + BUDGET + END_SLACK
        delivered = one.status == 200 or any(id == one.id and at <= end for at, id in runs)
        noticed = one.id in discovery.notices and discovery.notices[one.id][0] <= end
        if not delivered and not noticed:
            lost.append(one.id)
    foreign = sorted({id for _, id in runs if id not in handed_in})
    record("handed in %d, answered %d" % (len(sent), len(sent) - len(unanswered)))
    record("never answered (%d): %s" % (len(unanswered), " ".join(unanswered)))
    record("answered as taken on, neither delivered nor noticed (%d): %s" % (len(lost), " ".join(lost)))
    record("run, but handed in by nobody (%d): %s" % (len(foreign), " ".join(foreign)))
    broken = bool(unanswered or lost or foreign)
    record("RULE BROKEN" if broken else "the rule held")
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception:  # the case could not run
        traceback.print_exc()
        code = 2
    sys.exit(code)
