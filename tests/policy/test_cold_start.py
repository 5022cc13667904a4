"""Request rate of a fleet to an endpoint that has just started.

Load pattern: endpoints return together, and every process sees them as idle at
the same moment.
"""

from random import Random

from testtools import TestCase

from magnolialug.policy.coldstart import ColdStart

COLD_S = 3.0
PER_S = 17.0
# The platform's limit: 1.5 times the announced rate, plus five.
MOST_PER_S = PER_S * 1.5 + 5


def busiest_second(processes, seed, step_s=0.01):
    """Returns the maximum rate per second of processes that never pause.

    Each is notified of the start within a tenth of a second.
    """
    random = Random(seed)
    fleet = [ColdStart() for _ in range(processes)]
    notified_at = [random.uniform(0.0, 0.1) for _ in fleet]
    for number, cold in enumerate(fleet):
        cold.limit(COLD_S, PER_S / processes, number / processes)
        cold.record_cold(notified_at[number], COLD_S)
    sent = []
    for step in range(round(COLD_S / step_s)):
        now = step * step_s
        for cold, from_ in zip(fleet, notified_at, strict=True):
            if now >= from_ and cold.may_send(now):
                cold.sent(now)
                sent.append(now)
    return max(sum(at <= when < at + 1 for when in sent) for at in sent)


class ColdStartTest(TestCase):
    """Each process's share of a cold endpoint's request rate."""

    def test_a_fleet_stays_within_the_limit(self):
        for processes in (1, 4, 26, 68, 360):
            for seed in range(5):
                self.assertLess(busiest_second(processes, seed), MOST_PER_S)

    def test_a_fleet_uses_most_of_the_rate(self):
        for processes in (4, 26):
            self.assertGreater(busiest_second(processes, 1), 0.7 * PER_S)

    def test_a_warm_endpoint_is_not_limited(self):
        cold = ColdStart()
        cold.limit(COLD_S, 1.0)
        for now in range(3):
            self.assertTrue(cold.may_send(now / 100))
            cold.sent(now / 100)
        cold.record_cold(1.0, COLD_S)
        self.assertTrue(cold.may_send(1.0 + COLD_S))

    def test_a_request_sent_just_before_the_start_is_known_counts(self):
        """The start becomes known after the first requests were sent."""
        cold = ColdStart()
        cold.limit(COLD_S, 1.0)
        cold.sent(0.0)
        cold.record_cold(0.1, COLD_S)
        self.assertFalse(cold.may_send(0.9))
        self.assertAlmostEqual(0.1, cold.wait_s(0.9))

    def test_a_service_without_cold_starts_is_not_assumed_cold(self):
        cold = ColdStart()
        cold.limit(0.0, 0.0)
        self.assertFalse(cold.assume_started(0.0))
        self.assertTrue(cold.may_send(0.0))
