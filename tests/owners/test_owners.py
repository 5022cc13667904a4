"""What entries know of each other's work, through the owners of engines."""

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
    """One owner knows what all entries do at its engine."""

    def test_everybody_is_told_of_everybody_elses_work(self):
        fleet = fleet_of()
        one, other, *_ = fleet.entries.values()
        one.sends("i-0")
        fleet.pass_time(0.005)
        self.assertEqual(12_000, fleet.ask(other, ["i-0"])["i-0"].held)
        self.assertEqual(0, fleet.ask(one, ["i-0"])["i-0"].held)
        one.ends("i-0")
        fleet.pass_time(0.05)
        self.assertEqual(0, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_lost_datagrams_are_made_good(self):
        """Half of all datagrams get lost.

        Symptom: an engine is believed idle, or busy, for as long as nothing
        else is sent there. Cause: each change was told once.
        """
        fleet = fleet_of()
        random = Random(1)
        fleet.loses = lambda sender, to: random.random() < 0.5
        one, other, *_ = fleet.entries.values()
        one.sends("i-0")
        fleet.pass_time(2)
        fleet.loses = lambda sender, to: False
        self.assertEqual(1, fleet.ask(other, ["i-0"])["i-0"].running)
        one.ends("i-0")
        fleet.loses = lambda sender, to: random.random() < 0.5
        fleet.pass_time(2)
        fleet.loses = lambda sender, to: False
        self.assertEqual(0, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_the_work_of_an_entry_that_dies_is_forgotten(self):
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        one, other = [e for e in fleet.entries.values() if e is not owner][:2]
        one.sends("i-0")
        fleet.pass_time(0.1)
        one.alive = False
        fleet.pass_time(2.1)
        self.assertEqual(0, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_a_home_that_dies_is_stood_in_for(self):
        """The entry that keeps an engine's ledger is killed.

        Symptom: for the nine seconds until its lease has run out that engine
        looks idle to everybody, and gets whatever comes. Sequence: questions
        stay without an answer. Cause: an unknown engine was taken for an idle
        one, and nobody else was asked.
        """
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        one, other = [e for e in fleet.entries.values() if e is not owner][:2]
        one.sends("i-0")
        fleet.pass_time(0.1)
        owner.alive = False
        self.assertEqual({}, fleet.ask(other, ["i-0"]))
        fleet.ask(one, ["i-0"])
        fleet.pass_time(0.6)
        self.assertEqual(1, fleet.ask(other, ["i-0"])["i-0"].running)

    def test_a_home_that_is_back_is_asked_again(self):
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

    def test_a_new_home_hears_of_all_work_at_once(self):
        fleet = fleet_of(entries=3, engines=12)
        for entry in fleet.entries.values():
            for engine in fleet.engines:
                entry.sends(engine)
        fleet.pass_time(0.1)
        newcomer = fleet.join(77)
        fleet.agree()
        moved = [e for e in fleet.engines if fleet.owner(e) is newcomer]
        self.assertGreater(len(moved), 0)
        fleet.pass_time(0.02)
        told = fleet.ask(newcomer, moved)
        self.assertEqual({3}, {state.running for state in told.values()})

    def test_larger_entries_are_home_of_more(self):
        fleet = fleet_of(entries=20, engines=400)
        large = next(iter(fleet.entries))
        weights = dict.fromkeys(fleet.entries, 0.4) | {large: 2.0}
        for entry in fleet.entries.values():
            entry.owners.entries(weights)
        kept = sum(
            fleet.owner(engine).address == large for engine in fleet.engines
        )
        self.assertTrue(50 < kept < 130, kept)

    def test_parts_that_any_entry_has_brought_are_found(self):
        fleet = fleet_of()
        one, other, *_ = fleet.entries.values()
        parts = (Part("a", 500), Part("b", 9000))
        one.sends("i-0", placement=Placement("i-0", "s", parts))
        fleet.pass_time(0.005)
        state = fleet.ask(other, ["i-0"], (*parts, Part("c", 9)), "s")["i-0"]
        self.assertEqual(2, state.found)
        state = fleet.ask(other, ["i-0"], parts, "another salt")["i-0"]
        self.assertEqual(0, state.found)

    def test_one_that_is_cut_off_from_the_service_hears_of_a_rollout(self):
        """Engines load weights; one entry does not reach the store.

        Symptom: it sends prompts to engines that turn them away. Cause: the
        holder's word lies in the store only.
        """
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        cut_off = next(e for e in fleet.entries.values() if e is not owner)
        rollout = Rollout("m", 2, closed=("i-0",), number=3)
        owner.update_rollout(rollout)
        fleet.ask(cut_off, ["i-0"])
        self.assertEqual(rollout, cut_off.rollout)


class SilenceTest(TestCase):
    """An engine that nobody hears of is dead; a busy one is not."""

    def told(self, *shares):
        """Returns whether an engine is silent after some words of entries."""
        fleet = fleet_of()
        owner = fleet.owner("i-0")
        for number, (heard_ms, oldest_ms) in enumerate(shares):
            entry = list(fleet.entries.values())[number]
            entry.heard_ms, entry.oldest_ms = heard_ms, oldest_ms
            entry.sends("i-0")
        fleet.pass_time(0.01)
        return fleet.ask(owner, ["i-0"])["i-0"].silent

    def test_who_is_silent(self):
        """A quarter of the engines goes dark; each of 68 entries finds out.

        Symptom: several hundred prompts end at their deadlines. Sequence:
        every entry sends one or two to each dead engine before it suspects
        it. Cause: what one entry had not heard the others did not know.
        """
        cases = (
            # (since the last byte, since the oldest request) of each entry
            ((60_000, 1_200),),
            ((1_000, 1_000), (2_000, 30)),
        )
        for shares in cases:
            self.assertTrue(self.told(*shares), shares)

    def test_who_is_not(self):
        cases = (
            ((60_000, 500),),
            ((1_200, 1_200), (100, 2_000)),
            ((5_000, 10), (5_000, 20)),
        )
        for shares in cases:
            self.assertFalse(self.told(*shares), shares)


class BurstTest(TestCase):
    """Hundreds of machines place prompts on the engines that they share.

    The pattern is the heaviest day measured: 68 entries, 38 engines that read
    75 tokens in a millisecond, 132 prompts of 12,000 and 340 of 2,400 tokens
    a second in clumps of three. An entry places seven a second and sees a
    sixty-eighth of all.
    """

    def wait(self, entries, engines, asking):
        """Returns the mean of the work ahead of a prompt, in seconds."""
        random = Random(5)
        fleet = fleet_of(entries, engines)
        now, truth, waits = 0.0, dict.fromkeys(fleet.engines, 0.0), []
        others = list(fleet.entries.values())
        for _ in range(500):
            step = random.expovariate(12.4 * engines / 3)
            now += step
            for name in truth:
                truth[name] = max(0.0, truth[name] - step * 75_000)
            fleet.pass_time(step, step)
            for entry in random.sample(others, 3):
                size = 12_000 if random.random() < 0.28 else 2_400
                candidates = random.sample(fleet.engines, 3)
                self.end_those_read(fleet, truth)
                load = dict.fromkeys(candidates, 0)
                if asking:
                    for name, state in fleet.ask(entry, candidates).items():
                        load[name] = sum(state.reading)
                        load[name] += entry.work.get(name, (0, 0))[1]
                name = min(candidates, key=lambda name: load[name])
                waits.append(truth[name] / 75_000)
                truth[name] += size
                entry.sends(name, unread=size)
        return sum(waits) / len(waits)

    def end_those_read(self, fleet, truth):
        """Ends the requests at engines that have read everything."""
        for entry in fleet.entries.values():
            for name in [n for n in entry.work if truth[n] <= 0]:
                entry.ends(name)

    def test_asking_three_spreads_what_comes(self):
        alone = self.wait(68, 38, asking=False)
        asked = self.wait(68, 38, asking=True)
        self.assertLess(asked, 0.6 * alone)


class BytesTest(TestCase):
    """What an entry sends goes by its own requests, not by the fleet.

    Ten requests a second, each asked about at three engines, told of when it
    is sent, at its first event and at its end. With every entry telling every
    other one, 26 of them filled links of 5 Mbit/s; callers' requests stood
    behind it for up to 0.8 s.
    """

    def sent(self, entries, engines):
        """Returns the bytes a second that one entry sends."""
        random = Random(2)
        fleet = fleet_of(entries, engines)
        one = next(iter(fleet.entries.values()))
        parts = (Part("493b2ed7071", 528), Part("806137c10016", 12_087))
        for _ in range(50):
            names = random.sample(fleet.engines, min(3, engines))
            fleet.ask(one, names, parts, "/seti96836/1")
            name = names[0]
            one.sends(name, placement=Placement(name, "/seti96836/1", parts))
            fleet.pass_time(0.03)
            one.owners.load_reporter.changed(name)
            fleet.pass_time(0.03)
            one.ends(name)
            fleet.pass_time(0.01)
        return one.bytes / fleet.clock.seconds()

    def test_they_leave_a_slow_link_to_the_requests(self):
        self.assertLess(self.sent(26, 24), 0.02 * SLOW_LINK_BYTES_PER_S)

    def test_they_do_not_grow_with_the_fleet(self):
        small, large = self.sent(10, 24), self.sent(90, 240)
        self.assertLess(large, 1.25 * small)
