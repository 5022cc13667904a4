"""A fleet of processes that sends to a cold endpoint, under random demand.

Load pattern: processes without requests for a cold endpoint accumulate unused
send slots, and a surge reaches all of them at the same moment.
"""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from testtools import TestCase

from magnolialug.policy.coldstart import ColdStart

COLD_S = 6.0
PER_S = 17.0
# The platform's limit: 1.5 times the announced rate, plus five.
MOST_PER_S = PER_S * 1.5 + 5


class Fleet:
    """Processes that share a cold endpoint's rate, and their requests."""

    def __init__(self, processes, random):
        self.now = 0.0
        self.sent = []
        self.cold_until = 0.0
        self._random = random
        self._processes = processes
        self._shares = [self._share(rank) for rank in range(processes)]

    def _share(self, rank):
        share = ColdStart()
        rate = PER_S / self._processes
        share.limit(COLD_S, rate, rank / self._processes)
        return share

    def turn_cold(self):
        """Makes the endpoint cold.

        Every process is notified within a tenth of a second.
        """
        self.cold_until = self.now + COLD_S
        for share in self._shares:
            notified_at = self.now + self._random.uniform(0.0, 0.1)
            share.record_cold(notified_at, COLD_S)

    def restart(self, number):
        """Restarts a process, which finds the endpoint cold."""
        number %= self._processes
        self._shares[number] = self._share(number)
        if self.now < self.cold_until:
            self._shares[number].record_cold(
                self.now, self.cold_until - self.now
            )

    def surge(self, processes):
        """Offers a request to each of the first processes."""
        self.offer(lambda rank: rank < processes)

    def offer(self, has_request):
        """Offers a request to each process that has one, by its rank."""
        for rank, share in enumerate(self._shares):
            if not has_request(rank) or self.now >= self.cold_until:
                continue
            if share.may_send(self.now):
                share.sent(self.now)
                self.sent.append(self.now)

    def busiest_second(self):
        """Returns the maximum number of requests sent in any second."""
        return max(
            (
                sum(at <= when < at + 1 for when in self.sent)
                for at in self.sent
            ),
            default=0,
        )


class ColdFleetMachine(RuleBasedStateMachine):
    """Surges, pauses, repeated cold starts, and one restart per second."""

    @initialize(
        processes=st.sampled_from((1, 4, 12, 26)), seed=st.integers(0, 99)
    )
    def start(self, processes, seed):
        self.fleet = Fleet(processes, Random(seed))
        self.fleet.turn_cold()

    @rule(steps=st.integers(1, 40))
    def wait(self, steps):
        self.fleet.now += steps * 0.05

    @rule(processes=st.integers(1, 26))
    def surge(self, processes):
        self.fleet.surge(processes)

    @rule()
    def stay_busy(self):
        for _ in range(20):
            self.fleet.now += 0.05
            self.fleet.surge(26)

    @rule()
    def turn_cold_again(self):
        self.fleet.turn_cold()

    @rule(number=st.integers(0, 25))
    def restart_one(self, number):
        self.fleet.now += 1.0
        self.fleet.restart(number)

    @invariant()
    def the_request_rate_stays_within_the_limit(self):
        if hasattr(self, "fleet"):
            most = self.fleet.busiest_second()
            assert most <= MOST_PER_S, most


ColdFleetMachineTest = ColdFleetMachine.TestCase
ColdFleetMachineTest.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)


class IdleFleetTest(TestCase):
    """Guards against a crash of a cold endpoint under accumulated slots."""

    def busiest_second(self, processes, seed):
        """Returns the maximum number of requests in any second of a surge."""
        fleet = Fleet(processes, Random(seed))
        fleet.turn_cold()
        fleet.now = 2.0
        while fleet.now < COLD_S:
            fleet.surge(processes)
            fleet.now += 0.05
        return fleet.busiest_second()

    def test_processes_with_few_requests_use_most_of_the_rate(self):
        """Guards against a limit that is kept by sending almost nothing."""
        random = Random(1)
        for processes in (16, 68, 360):
            fleet = Fleet(processes, random)
            fleet.turn_cold()
            while fleet.now < COLD_S:
                fleet.offer(lambda _: random.random() < 3 * 0.05)
                fleet.now += 0.05
            self.assertGreater(len(fleet.sent), 0.6 * PER_S * COLD_S)

    def test_a_surge_after_a_pause_stays_within_the_limit_at_every_size(self):
        busiest = {}
        for processes in (1, 4, 8, 12, 16, 17, 26, 31, 68, 360):
            for seed in range(5):
                most = self.busiest_second(processes, seed)
                busiest[processes, seed] = most
        too_many = {n: most for n, most in busiest.items() if most > MOST_PER_S}
        self.assertEqual({}, too_many)
