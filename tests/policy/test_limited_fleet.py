"""A fleet of processes that sends to an endpoint with a limited rate.

Load pattern: many processes share one limit of a few requests a second, and
their requests are spread unevenly; some cannot reach the endpoint's owner.
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

from magnolialug.policy.limitnotice import LimitNotice
from magnolialug.policy.sendbucket import SendBucket
from magnolialug.policy.sendlimit import SendLimit

WINDOW_S = 4.0
STEP_S = 0.05
# An owner is asked, and hears of a request, this much later.
TRANSIT_S = 0.002


def allowed(rate):
    """Returns the most requests in any window, the platform's limit."""
    return 1.5 * WINDOW_S * rate + 5


class Fleet:
    """Processes that share the limit of one endpoint, and its owner."""

    def __init__(self, processes, rate):
        self.now = 0.0
        self.sent = []
        self.rate = rate
        self.cut_off = set()
        self.lost_reports = set()
        self.bucket = SendBucket()
        self.limits = [SendLimit() for _ in range(processes)]
        for rank, limit in enumerate(self.limits):
            limit.share(processes, rank / processes)
        self.name(rate)

    def name(self, rate):
        """Lets the endpoint name a limit, which all processes hear of."""
        self.rate = rate
        notice = LimitNotice(f"n{self.now}", rate, self.now, self.now)
        self.bucket.known.record(notice)
        for limit in self.limits:
            limit.record(notice, self.now)

    def restart(self, number):
        """Restarts a process, which hears of the limit when it asks."""
        rank = number % len(self.limits)
        limit = self.limits[rank] = SendLimit()
        limit.share(len(self.limits), rank / len(self.limits))

    def replace_owner(self):
        """Makes another process the owner, which learns the limit anew."""
        notice = self.bucket.known.notice
        self.bucket = SendBucket()
        self.bucket.known.record(notice)

    def offer(self, numbers, priority=0):
        """Offers a request to some processes; returns how many were sent."""
        before = len(self.sent)
        for number in numbers:
            rank = number % len(self.limits)
            self.offer_one(rank, priority)
        self.now += STEP_S
        return len(self.sent) - before

    def offer_one(self, rank, priority=0):
        """Offers a request to one process."""
        now, limit = self.now, self.limits[rank]
        if not limit.may_ask(now):
            return
        if rank in self.cut_off:
            limit.fall_back(now)
        else:
            limit.record(self.bucket.known.notice, now)
            wait_s = self.bucket.ask(str(rank), priority, now)
            if wait_s is None:
                return
            limit.grant(wait_s, now)
        if not limit.may_send(now):
            return
        if limit.rate is None:
            # Its answer tells; until then its requests do not count.
            limit.record(self.bucket.known.notice, now)
            return
        limit.record_sent(now)
        self.sent.append(now)
        if rank not in self.cut_off and rank not in self.lost_reports:
            self.bucket.record_sent(
                str(rank), limit.sent, limit.recently_sent(now), now
            )

    def busiest_window(self, since=0.0):
        """Returns the most requests sent in any window."""
        most = first = 0
        sent = [at for at in self.sent if at >= since]
        for last, at in enumerate(sent):
            while at - sent[first] >= WINDOW_S - 1e-9:
                first += 1
            most = max(most, last - first + 1)
        return most


class LimitedFleetTest(TestCase):
    """Fleets of all sizes under steady demand."""

    def run_fleet(self, processes, rate, seconds=40, cut_off=0.0):
        """Offers far more than the rate; returns the fleet."""
        fleet = Fleet(processes, rate)
        fleet.cut_off = set(range(round(processes * cut_off)))
        for step in range(round(seconds / STEP_S)):
            fleet.offer(range(step * 7, step * 7 + 7))
        return fleet

    def test_the_limit_holds_and_is_used_at_all_sizes(self):
        """Guards against a bound that each process keeps for itself."""
        for processes in (1, 4, 26, 68, 360):
            for rate in (0.0, 0.5, 2.8, 17.0):
                fleet = self.run_fleet(processes, rate)
                self.assertLessEqual(fleet.busiest_window(), allowed(rate))
                self.assertGreaterEqual(len(fleet.sent), 0.8 * 40 * rate)

    def test_the_limit_holds_without_an_owner(self):
        """Guards against a limit that nobody keeps if the owner is gone."""
        for cut_off in (0.25, 0.5, 1.0):
            for processes in (4, 26, 68):
                fleet = self.run_fleet(processes, 2.8, cut_off=cut_off)
                self.assertLessEqual(fleet.busiest_window(), allowed(2.8))
                self.assertGreater(len(fleet.sent), 0)

    def test_one_process_with_all_requests_uses_the_whole_rate(self):
        """Guards against shares that lie idle at processes without requests."""
        fleet = Fleet(68, 2.8)
        for _ in range(round(20 / STEP_S)):
            fleet.offer([5])
        self.assertGreaterEqual(len(fleet.sent), 0.8 * 20 * 2.8)
        self.assertLessEqual(fleet.busiest_window(), allowed(2.8))

    def test_a_raised_limit_is_used_at_once(self):
        """Guards against waiting out the interval of the lower limit."""
        for cut_off in (0.0, 1.0):
            fleet = self.run_fleet(26, 0.0, seconds=5, cut_off=cut_off)
            before = len(fleet.sent)
            fleet.name(20.0)
            for step in range(round(8 / STEP_S)):
                fleet.offer(range(step * 7, step * 7 + 26))
            usable = 8 * 20 * (0.5 if cut_off else 1.0)
            self.assertGreater(len(fleet.sent) - before, 0.7 * usable)

    def test_an_owner_that_missed_a_query_is_asked_again_soon(self):
        """Guards against waiting for a slot while the owner answers again."""
        fleet = Fleet(68, 2.8)
        fleet.cut_off = {5}
        fleet.offer([5])
        fleet.cut_off = set()
        for _ in range(round(5 / STEP_S)):
            fleet.offer([5])
        self.assertGreater(len(fleet.sent), 0.7 * 5 * 2.8)

    def test_the_end_of_a_limit_is_heard_of_during_a_long_wait(self):
        """Guards against an endpoint that is left alone when it is well."""
        fleet = Fleet(4, 0.0)
        fleet.offer([0, 1, 2, 3])
        ended = LimitNotice("end", None, fleet.now, fleet.now)
        fleet.bucket.known.record(ended)
        for _ in range(round(1.5 / STEP_S)):
            fleet.offer([0, 1, 2, 3])
        self.assertEqual([None] * 4, [limit.rate for limit in fleet.limits])

    def test_restarted_processes_do_not_send_at_one_moment(self):
        """Guards against a first request of each process that starts."""
        fleet = self.run_fleet(68, 0.5, seconds=5)
        fleet.sent.clear()
        for number in range(68):
            fleet.restart(number)
        fleet.offer(range(68))
        self.assertLessEqual(fleet.busiest_window(), allowed(0.5))

    def test_lost_reports_are_made_up_for(self):
        """Guards against requests that are never counted."""
        fleet = Fleet(4, 2.8)
        fleet.lost_reports = {0}
        for step in range(round(20 / STEP_S)):
            fleet.lost_reports = {0} if step % 5 else set()
            fleet.offer([0, 1])
        self.assertLessEqual(fleet.busiest_window(), allowed(2.8))
        self.assertLessEqual(len(fleet.sent), 1.5 * 20 * 2.8)

    def test_unused_permits_do_not_waste_the_rate(self):
        """Guards against permits for choices that fall on another endpoint."""
        random = Random(1)
        fleet = Fleet(4, 2.8)
        for step in range(round(20 / STEP_S)):
            for rank in random.sample(range(4), 4):
                limit = fleet.limits[rank]
                if rank == 3 and step % 2:
                    fleet.offer_one(rank)
                elif rank != 3 and limit.may_ask(fleet.now):
                    wait_s = fleet.bucket.ask(str(rank), 0, fleet.now)
                    limit.grant(wait_s, fleet.now)
            fleet.now += random.uniform(0.1, 1.9) * STEP_S
        self.assertGreater(len(fleet.sent), 0.4 * 20 * 2.8)

    def test_urgent_requests_go_first_and_no_priority_starves(self):
        """Guards against permits in the order of arrival alone."""
        fleet = Fleet(4, 2.8)
        urgent = other = 0
        for _ in range(round(40 / STEP_S)):
            other += fleet.offer([0, 1], priority=3)
            urgent += fleet.offer([2, 3], priority=0)
        self.assertGreater(urgent, 2 * other)
        self.assertGreater(other, 0.1 * urgent)


class LimitedFleet(RuleBasedStateMachine):
    """Any course of demand, limits, restarts, cuts and owners."""

    @initialize(
        processes=st.sampled_from((1, 3, 16, 68)),
        rate=st.sampled_from((0.0, 0.5, 2.8, 9.0)),
    )
    def begin(self, processes, rate):
        """Starts a fleet."""
        self.fleet = Fleet(processes, rate)
        self.highest = rate
        self.excess = 0

    @rule(
        steps=st.integers(1, 40),
        first=st.integers(0, 67),
        count=st.integers(1, 30),
    )
    def demand(self, steps, first, count):
        """Offers requests to some processes for a while."""
        for _ in range(steps):
            self.fleet.offer(range(first, first + count))

    @rule(seconds=st.floats(0.1, 20.0))
    def rest(self, seconds):
        """Lets time pass without requests."""
        self.fleet.now += seconds

    @rule(number=st.integers(0, 67))
    def restart(self, number):
        """Restarts a process."""
        self.fleet.restart(number)

    @rule(numbers=st.sets(st.integers(0, 67), max_size=20))
    def cut(self, numbers):
        """Cuts some processes off from the owner, and heals the others."""
        self.fleet.cut_off = numbers

    @rule(rate=st.sampled_from((0.0, 1.5, 4.0)))
    def rename(self, rate):
        """Changes the limit."""
        self.fleet.name(rate)
        self.highest = max(self.highest, rate)

    @invariant()
    def limit_holds(self):
        """No window has more than the highest limit allows."""
        since = self.fleet.now - 2 * WINDOW_S
        self.fleet.sent = [at for at in self.fleet.sent if at >= since]
        most = self.fleet.busiest_window()
        assert most <= allowed(self.highest), (most, self.highest)


LimitedFleetMachineTest = LimitedFleet.TestCase
LimitedFleetMachineTest.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)
