"""Callers, and the queues of engines that free memory at a steady rate."""

from collections import Counter, defaultdict
from random import Random

from magnolialug.policy.admissionlead import Claimant
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.policy.admissionqueue import AdmissionQueue, QueuedPrompt
from magnolialug.policy.waitledger import WaitLedger, WaitReport, flow_id

# Callers want the first event within 1 s and leave after 4 s; a prompt that has
# not been admitted a second before that is refused.
TARGET_S = 1.0
PATIENCE_S = 3.0
FIRST_EVENT_S = 0.35
DURATION_S = 40.0
STEP_S = 0.02
RENEW_S = 0.2
QUEUES = 6
MEMORY = 84_000
# Tokens that one engine frees in a second, and the mean size of a prompt.
FREED_PER_S = 24_000
MEAN_TOKENS = 12_000
PER_S = 1.5 * QUEUES * FREED_PER_S / MEAN_TOKENS
# How often a refused caller returns.
RETURNS = 2


class Request:
    """A caller's request over its tries."""

    def __init__(self, number, team, dossier, tokens, now):
        self.number = number
        self.team = team
        self.dossier = dossier
        self.tokens = tokens
        self.first_at = now
        self.queue = None
        self.left = RETURNS
        self.lost_s = 0.0
        self.result = "refused"


class Simulation:
    """Queues of several engines that free memory at a steady rate.

    Args:
      draw: returns team, dossier and tokens of the next request.
      is_fair: whether prompts carry the standings of their flows.
    """

    def __init__(self, draw, is_fair, seed):
        self.random = Random(seed)
        self.draw = draw
        self.is_fair = is_fair
        self.queues = [AdmissionQueue() for _ in range(QUEUES)]
        self.credit = [float(MEMORY)] * QUEUES
        self.ledger = WaitLedger()
        self.requests = []
        self.waiting = {}
        self.returning = []

    def run(self):
        """Returns all requests with their results."""
        now, due = 0.0, 0.0
        while now < DURATION_S:
            due += PER_S * STEP_S
            while due >= 1.0:
                due -= 1.0
                self.arrive(now)
            for at, request in list(self.returning):
                if at <= now:
                    self.returning.remove((at, request))
                    self.enqueue(request, now)
            self.step(now)
            now += STEP_S
        return self.requests

    def arrive(self, now):
        """Adds a new request."""
        number = len(self.requests)
        request = Request(number, *self.draw(self.random), now)
        self.requests.append(request)
        self.enqueue(request, now)

    def enqueue(self, request, now):
        """Adds a request to one of the queues."""
        request.queue = self.random.randrange(QUEUES)
        request.begun_at = now
        self.waiting[request.number] = request
        self.put(request, now)

    def put(self, request, now):
        """Adds or renews a request."""
        request.renewed_at = now
        waiting = WaitingPrompt(
            number=0,
            priority=1,
            target_at=request.begun_at + TARGET_S,
            ends_at=request.begun_at + PATIENCE_S,
            size=request.tokens / MEMORY,
            first_event_s=FIRST_EVENT_S,
        )
        row = QueuedPrompt(
            request.number,
            waiting,
            request.tokens,
            request.tokens,
            0.5,
            1,
            True,
            now,
            self.claimant(request, now),
        )
        self.queues[request.queue].put(row)

    def claimant(self, request, now):
        """Returns what the keepers know of a request's flows."""
        if not self.is_fair:
            return None
        standing = self.ledger.standing
        return Claimant(
            standing(flow_id("team", request.team), now),
            standing(flow_id("dossier", request.dossier), now),
            round(request.lost_s * 1000),
        )

    def step(self, now):
        """Grants what fits, and refuses what cannot be in time."""
        for number, queue in enumerate(self.queues):
            self.credit[number] = min(
                MEMORY, self.credit[number] + FREED_PER_S * STEP_S
            )
            while row := queue.take_next(now, self.fits(number)):
                self.credit[number] -= row.tokens
                request = self.waiting.pop(row.ticket)
                in_time = now + FIRST_EVENT_S <= request.first_at + TARGET_S
                request.result = "in time" if in_time else "late"
                self.report(request, now - request.begun_at, row.tokens, now)
        for request in list(self.waiting.values()):
            queue = self.queues[request.queue]
            if now - request.renewed_at >= RENEW_S:
                self.put(request, now)
                after_s = queue.retry_after_s(request.number, now)
                if after_s is not None or now >= request.begun_at + PATIENCE_S:
                    self.refuse(request, after_s or 1.0, now)

    def fits(self, number):
        """Returns a function that tells whether an engine has room."""
        return lambda row: row.tokens <= self.credit[number]

    def refuse(self, request, after_s, now):
        """Refuses a request, whose caller may return."""
        self.queues[request.queue].drop(request.number)
        del self.waiting[request.number]
        self.report(request, PATIENCE_S, 0, now)
        if request.left:
            request.left -= 1
            request.lost_s += now - request.begun_at + after_s
            self.returning.append((now + after_s, request))

    def report(self, request, waited_s, tokens, now):
        """Reports the end of a wait to the keepers."""
        for flow in (
            flow_id("team", request.team),
            flow_id("dossier", request.dossier),
        ):
            report = WaitReport(flow, 1, round(waited_s * 1000), tokens)
            self.ledger.record(report, now)


def shares(requests, key):
    """Returns the share of requests with each result, by a key.

    Those of the first seconds, without load yet, and of the last ones, whose
    callers may still return, are left out.
    """
    counts = defaultdict(Counter)
    for request in requests:
        if 5.0 <= request.first_at < DURATION_S - 8.0:
            counts[key(request)][request.result] += 1
    return {
        name: Counter({one: row[one] / row.total() for one in row})
        for name, row in counts.items()
    }
