"""Whether an endpoint that closed a connection has crashed."""

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.policy.requestidentity import RequestIdentity
from magnolialug.quarantine.crashdetector import CrashDetector, LostAttempt


class ProbedPool:
    """The connections to an endpoint; probes end as the test says.

    Attributes:
      results: of the next probes; the last one is repeated.
      probes: how many have been made.
    """

    def __init__(self, clock, *results):
        self.results = list(results)
        self.probes = 0
        self._clock = clock

    def probe(self, done):
        """Ends a probe a millisecond later."""
        self.probes += 1
        last = len(self.results) == 1
        result = self.results[0] if last else self.results.pop(0)
        self._clock.callLater(0.001, done, result)


class CrashDetectorTest(TestCase):
    """What is reported as lost with an endpoint."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.crashes = []
        self.detector = CrashDetector(
            self.clock,
            lambda _, losses: self.crashes.append(
                [loss.identity.digest for loss in losses]
            ),
        )

    def lose(self, digest, pool):
        """Records a loss and lets time pass until the probe has ended."""
        identity = RequestIdentity(digest, "llm", "a")
        now = self.clock.seconds()
        loss = LostAttempt(identity, "", False, now, 9e9, now)
        self.detector.record_loss("i-1", pool, loss)
        self.clock.advance(0.01)

    def pass_time(self, seconds):
        """Lets time pass in small steps."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def test_a_refused_probe_is_a_crash(self):
        self.lose("d", ProbedPool(self.clock, True))
        self.assertEqual([["d"]], self.crashes)

    def test_a_probe_that_ends_too_soon_is_repeated(self):
        """Guards against a crash that is taken for a truncated answer.

        The probe ended before the other connections were seen to close. The
        prompt that had crashed the engine was forgotten, and its part was
        found only after fourteen engines.
        """
        pool = ProbedPool(self.clock, False, True)
        self.lose("d", pool)
        self.assertEqual([], self.crashes)
        self.pass_time(0.4)
        self.assertEqual([["d"]], self.crashes)
        self.pass_time(5)
        self.assertEqual(([["d"]], 2), (self.crashes, pool.probes))

    def test_a_crash_found_later_includes_the_losses_before(self):
        pool = ProbedPool(self.clock, False, True)
        self.lose("cause", pool)
        self.lose("bystander", pool)
        self.assertEqual([["cause", "bystander"]], self.crashes)

    def test_a_living_endpoint_is_probed_twice_for_each_loss_at_most(self):
        pool = ProbedPool(self.clock, False)
        self.lose("d", pool)
        self.pass_time(5)
        self.assertEqual(([], 2), (self.crashes, pool.probes))

    def test_a_loss_of_long_before_is_no_part_of_a_crash(self):
        """Guards against blaming a truncated answer for a later crash."""
        pool = ProbedPool(self.clock, False, False, True)
        self.lose("truncated", pool)
        self.pass_time(2.5)
        self.lose("d", pool)
        self.assertEqual([["d"]], self.crashes)
