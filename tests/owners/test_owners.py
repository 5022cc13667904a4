"""Entries see each other's work through the owners of engines."""

from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.policy.prompt import Part
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import Placement
from tests.owners.fleet import Fleet

SLOW_LINK_BYTES_PER_S = 5e6 / 8


def fleet_of(entries=6, engines=4):
    """Returns a fleet on a virtual clock."""
    return Fleet(Clock(), entries, engines)


class LedgersTest(TestCase):
    """One owner knows the work of all entries at its engine."""

    def test_each_entry_sees_the_work_of_the_others(self):
        fleet = fleet_of()
        one, other, *_ = fleet.entries.values()
        one.start_request("i-0")
        fleet.pass_time(0.005)
        self.assertEqual(12_000, fleet.ask(other, ["i-0"])["i-0"].held)
        self.assertEqual(0, fleet.ask(one, ["i-0"])["i-0"].held)
        one.end_requests("i-0")
        fleet.pass_time(0.05)
        self.assertEqual(0, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_the_ledger_recovers_from_lost_datagrams(self):
        """Half of all datagrams are lost.

        Guards against an engine that is estimated as idle, or as busy, until
        another request is sent to it. The fault was that each change was
        reported once.
        """
        fleet = fleet_of()
        random = Random(1)
        fleet.is_lost = lambda sender, to: random.random() < 0.5
        one, other, *_ = fleet.entries.values()
        one.start_request("i-0")
        fleet.pass_time(2)
        fleet.is_lost = lambda sender, to: False
        self.assertEqual(1, fleet.ask(other, ["i-0"])["i-0"].running)
        one.end_requests("i-0")
        fleet.is_lost = lambda sender, to: random.random() < 0.5
        fleet.pass_time(2)
        fleet.is_lost = lambda sender, to: False
        self.assertEqual(0, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_the_work_of_a_dead_entry_expires(self):
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        one, other = [e for e in fleet.entries.values() if e is not owner][:2]
        one.start_request("i-0")
        fleet.pass_time(0.1)
        one.alive = False
        fleet.pass_time(2.1)
        self.assertEqual(0, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_a_dead_owner_is_replaced(self):
        """The owner of an engine is killed, so queries have no reply.

        Guards against an engine that looks idle to all entries, and gets all
        new requests, for the nine seconds until the owner's lease expires. The
        fault was that an unknown engine was treated as idle, and that no other
        entry was queried.
        """
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        one, other = [e for e in fleet.entries.values() if e is not owner][:2]
        one.start_request("i-0")
        fleet.pass_time(0.1)
        owner.alive = False
        self.assertEqual({}, fleet.ask(other, ["i-0"]))
        fleet.ask(one, ["i-0"])
        fleet.pass_time(0.6)
        self.assertEqual(1, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_a_recovered_owner_is_queried_again(self):
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        other = next(e for e in fleet.entries.values() if e is not owner)
        owner.alive = False
        fleet.ask(other, ["i-0"])
        self.assertNotEqual(owner.address, other.owners.ring.owner("i-0"))
        owner.alive = True
        fleet.pass_time(1.5)
        self.assertEqual(owner.address, other.owners.ring.owner("i-0"))
        fleet.ask(other, ["i-0"])
        self.assertEqual(owner.address, other.owners.ring.owner("i-0"))

    def test_a_new_owner_gets_all_reports_at_once(self):
        fleet = fleet_of(entries=3, engines=12)
        for entry in fleet.entries.values():
            for engine in fleet.engines:
                entry.start_request(engine)
        fleet.pass_time(0.1)
        newcomer = fleet.add_entry(77)
        fleet.sync_entries()
        moved = [e for e in fleet.engines if fleet.owner(e) is newcomer]
        self.assertGreater(len(moved), 0)
        fleet.pass_time(0.02)
        states = fleet.ask(newcomer, moved)
        self.assertEqual({3}, {state.running for state in states.values()})

    def test_larger_entries_own_more_engines(self):
        fleet = fleet_of(entries=20, engines=400)
        large = next(iter(fleet.entries))
        weights = dict.fromkeys(fleet.entries, 0.4) | {large: 2.0}
        for entry in fleet.entries.values():
            entry.owners.entries(weights)
        kept = sum(
            fleet.owner(engine).address == large for engine in fleet.engines
        )
        self.assertTrue(50 < kept < 130, kept)

    def test_parts_placed_by_any_entry_are_found(self):
        fleet = fleet_of()
        one, other, *_ = fleet.entries.values()
        parts = (Part("a", 500), Part("b", 9000))
        one.start_request("i-0", placement=Placement("i-0", "s", parts))
        fleet.pass_time(0.005)
        state = fleet.ask(other, ["i-0"], (*parts, Part("c", 9)), "s")["i-0"]
        self.assertEqual(2, state.cached_parts)
        state = fleet.ask(other, ["i-0"], parts, "another salt")["i-0"]
        self.assertEqual(0, state.cached_parts)

    def test_a_disconnected_entry_learns_of_a_rollout(self):
        """Engines load weights; one entry cannot reach the key-value service.

        Guards against prompts sent to engines that reject them. The fault was
        that the leader announced the rollout in the key-value service only.
        """
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        disconnected = next(e for e in fleet.entries.values() if e is not owner)
        rollout = Rollout("m", 2, closed=("i-0",), number=3)
        owner.update_rollout(rollout)
        fleet.ask(disconnected, ["i-0"])
        self.assertEqual(rollout, disconnected.rollout)


class SilenceTest(TestCase):
    """An engine that sends no bytes to any entry is dead; a busy one is not."""

    def is_silent(self, *shares):
        """Returns whether an engine is silent after reports of some entries."""
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        for number, (last_byte_ms, oldest_ms) in enumerate(shares):
            entry = list(fleet.entries.values())[number]
            entry.last_byte_ms, entry.oldest_ms = last_byte_ms, oldest_ms
            entry.start_request("i-0")
        fleet.pass_time(0.01)
        return fleet.ask(owner, ["i-0"])["i-0"].silent

    def test_engines_taken_as_silent(self):
        """A quarter of the engines stops, and each of 68 entries detects it.

        Guards against several hundred prompts that time out. Each entry sent
        one or two prompts to each dead engine before it suspected it, because
        entries did not share how long an engine had been silent.
        """
        cases = (
            # (since the last byte, since the oldest request) of each entry
            ((60_000, 1_200),),
            ((1_000, 1_000), (2_000, 30)),
        )
        for shares in cases:
            self.assertTrue(self.is_silent(*shares), shares)

    def test_engines_not_taken_as_silent(self):
        cases = (
            ((60_000, 500),),
            ((1_200, 1_200), (100, 2_000)),
            ((5_000, 10), (5_000, 20)),
        )
        for shares in cases:
            self.assertFalse(self.is_silent(*shares), shares)


class BurstTest(TestCase):
    """Many entries place prompts on the engines that they share.

    The load is the heaviest measured: 68 entries, 38 engines that prefill 75
    tokens per millisecond, and 132 prompts of 12,000 and 340 of 2,400 tokens a
    second in bursts of three. An entry places seven prompts a second and sees a
    sixty-eighth of all.
    """

    def mean_wait_s(self, entries, engines, with_queries):
        """Returns the mean of the work ahead of a prompt, in seconds."""
        random = Random(5)
        fleet = fleet_of(entries, engines)
        now, backlog, waits = 0.0, dict.fromkeys(fleet.engines, 0.0), []
        others = list(fleet.entries.values())
        for _ in range(500):
            step = random.expovariate(12.4 * engines / 3)
            now += step
            for name in backlog:
                backlog[name] = max(0.0, backlog[name] - step * 75_000)
            fleet.pass_time(step, step)
            for entry in random.sample(others, 3):
                size = 12_000 if random.random() < 0.28 else 2_400
                candidates = random.sample(fleet.engines, 3)
                self.end_finished(fleet, backlog)
                load = dict.fromkeys(candidates, 0)
                if with_queries:
                    for name, state in fleet.ask(entry, candidates).items():
                        load[name] = sum(state.pending_prefill)
                        load[name] += entry.work.get(name, (0, 0))[1]
                name = min(candidates, key=lambda name: load[name])
                waits.append(backlog[name] / 75_000)
                backlog[name] += size
                entry.start_request(name, unread=size)
        return sum(waits) / len(waits)

    def end_finished(self, fleet, backlog):
        """Ends the requests at engines without unread tokens."""
        for entry in fleet.entries.values():
            for name in [n for n in entry.work if backlog[n] <= 0]:
                entry.end_requests(name)

    def test_querying_three_owners_spreads_prompts(self):
        alone = self.mean_wait_s(68, 38, with_queries=False)
        asked = self.mean_wait_s(68, 38, with_queries=True)
        self.assertLess(asked, 0.6 * alone)


class BytesTest(TestCase):
    """An entry's messages depend on its own requests, not on the fleet.

    An entry sends ten requests a second. For each it queries three engines, and
    reports when it is sent, at its first event and at its end. When each entry
    reported to all others, 26 entries filled links of 5 Mbit/s, and callers'
    requests were delayed by up to 0.8 s.
    """

    def sent_bytes_per_s(self, entries, engines):
        """Returns the rate at which one entry sends messages."""
        random = Random(2)
        fleet = fleet_of(entries, engines)
        one = next(iter(fleet.entries.values()))
        parts = (Part("493b2ed7071", 528), Part("806137c10016", 12_087))
        for _ in range(50):
            names = random.sample(fleet.engines, min(3, engines))
            fleet.ask(one, names, parts, "/seti96836/1")
            name = names[0]
            one.start_request(
                name, placement=Placement(name, "/seti96836/1", parts)
            )
            fleet.pass_time(0.03)
            one.owners.load_reporter.changed(name)
            fleet.pass_time(0.03)
            one.end_requests(name)
            fleet.pass_time(0.01)
        return one.bytes / fleet.clock.seconds()

    def test_messages_use_little_of_a_slow_link(self):
        self.assertLess(
            self.sent_bytes_per_s(26, 24), 0.02 * SLOW_LINK_BYTES_PER_S
        )

    def test_messages_do_not_grow_with_the_fleet(self):
        small, large = (
            self.sent_bytes_per_s(10, 24),
            self.sent_bytes_per_s(90, 240),
        )
        self.assertLess(large, 1.25 * small)
