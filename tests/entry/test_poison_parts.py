"""Prompts with one part that crashes every endpoint that starts on it."""

import msgspec
from testtools import TestCase

from tests.entry.crashsetup import REACTION_S, CrashAt, CrashSetup

DEAD = "dead"
FIRST = "f1"
SESSIONS = [f"5e{number}" for number in range(6)]
# The platform's bound: this long after the fifth crash, requests with the part
# may be sent to endpoints three more times. What it takes to find the part is
# three crashes; requests that were under way by then may crash two more.
CRASH_LIMIT = 5
MAX_SENT_AFTER = 3
# By the platform's pages, sound requests are served as before from this long
# after the last crash on.
RECOVERED_S = 6.0
SERVED_SHARE = 0.9
STEP_S = 0.05


class Sent(msgspec.Struct):
    """A sound request that was sent."""

    at: float
    caller: object

    @property
    def is_served(self):
        """Whether its caller got a whole answer."""
        return self.caller.last.status == 200 and self.caller.last.whole


class PartTraffic:
    """Requests of one team, some of them with a part that crashes endpoints.

    No two are alike: each has a path, a body and a last part of its own.

    Attributes:
      sound: the requests without the part.
      poison: callers of the requests with it.
      place: where the part is in the prompt.
    """

    def __init__(self, route="/check/", place=1, dead=DEAD, **options):
        self.setup = CrashSetup(**options)
        self.setup.crashing_parts = {dead}
        self.sound = []
        self.poison = []
        self.place = place
        self._route = route
        self._dead = dead
        self._numbers = iter(range(1_000_000))

    def run(self, seconds, sound_every=2, poison_every=5):
        """Sends requests; one of each kind at every so many steps."""
        for step in range(round(seconds / STEP_S)):
            if sound_every and step % sound_every == 0:
                self.sound.append(Sent(self.setup.now, self.send([])))
            if poison_every and step % poison_every == 0:
                self.poison.append(self.send([self._dead]))
            self.setup.cluster.pass_time(STEP_S)

    def send(self, more, key="key-a", first=FIRST, session=None):
        """Sends a request with more parts than usual to some gateway."""
        random = self.setup.random
        vms = len(self.setup.cluster.gateways)
        session = session or random.choice(SESSIONS)
        names = [first, session]
        names[self.place : self.place] = more
        number = next(self._numbers)
        rows = [f"{name}:500" for name in (*names, f"1a{number:x}")]
        cluster = self.setup.cluster
        caller = cluster.caller((f"10.0.0.{1 + random.randrange(vms)}", 80))
        return cluster.send(
            f"{self._route}{number}",
            caller=caller,
            body=b"body %d" % number,
            parts=",".join(rows),
            key=key,
        )

    def sent_after_limit(self):
        """Returns the arrivals later than REACTION_S after the fifth crash."""
        crashed = self.setup.crashed
        if len(crashed) < CRASH_LIMIT:
            return []
        since = crashed[CRASH_LIMIT - 1][0] + REACTION_S
        return [row for row in self.setup.sent if row[0] > since]

    def served_share(self, since):
        """Returns the share of sound requests sent since that were served."""
        rows = [row for row in self.sound if row.at >= since]
        return sum(row.is_served for row in rows) / len(rows)

    def recovered_at(self):
        """Returns from when on sound requests must be served as before."""
        crashed = self.setup.crashed[:CRASH_LIMIT]
        return crashed[-1][0] + RECOVERED_S


class PoisonPartTest(TestCase):
    """Requests that have nothing but one part in common crash endpoints."""

    def test_a_part_that_crashes_endpoints_is_blocked(self):
        """Guards against one part of prompts that crashes every endpoint.

        Each request has a digest of its own, so that each crashed two
        endpoints, and all were down for as long as such requests came.
        """
        for route in ("/check/", "/draft/"):
            for place in (0, 1, 2):
                for crash_at in CrashAt:
                    case = f"{route} {place} {crash_at}"
                    traffic = PartTraffic(route, place, crash_at=crash_at)
                    traffic.run(20)
                    crashes = len(traffic.setup.crashed)
                    sent = len(traffic.sent_after_limit())
                    self.assertGreater(crashes, 0, case)
                    self.assertLessEqual(sent, MAX_SENT_AFTER, case)
                    self.assertLessEqual(crashes, CRASH_LIMIT, case)

    def test_sound_requests_beside_it_are_served(self):
        """Guards against barring all that resembles the poison requests.

        They share team, route and every part but one with sound requests.
        """
        for route in ("/check/", "/draft/"):
            for place in (0, 1, 2):
                traffic = PartTraffic(route, place)
                traffic.run(20)
                traffic.setup.cluster.pass_time(3)
                share = traffic.served_share(traffic.recovered_at())
                self.assertGreaterEqual(share, SERVED_SHARE, (route, place))
