"""What entries believe of an engine's pace, and tell its owner.

Load pattern: many entries send long prompts to engines that are unequally
fast; engines restart under their ids, owners die, callers stop reading.
"""

import msgspec
from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.owners.ledgers import EndpointFacts, Ledgers
from magnolialug.policy.endpointledger import EndpointLedger
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.enginepace import DEFAULT_EVENT_S, EnginePace
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.sharedload import EndpointState, WorkShare

ENGINE = EndpointId("i-1")
MEMORY = 84_000
DEFAULT_RATE = 75_000
RATE = 45_000
FIRST_EVENT_S = 0.09
PROMPT = Prompt("m", (Part("a", 12_000),), 12_000, 64)
GAP_S = 0.5
IDLE = EndpointState(ENGINE, (), 0, 0)


class Entry:
    """One entry's load estimate of an engine, and a clock."""

    def __init__(self, gap_s=GAP_S):
        self.load = EngineLoad(MEMORY, 64)
        self.now = 0.0
        self._gap_s = gap_s

    def read(self, name, rate=RATE, state=IDLE):
        """Sends a prompt; its first event comes by an engine of a rate."""
        if state is not None:
            self.load.record_others(state, self.now)
        unread = PROMPT.input_tokens
        self.load.sent(name, "s", PROMPT, unread, 1, self.now, self._gap_s)
        self.now += unread / rate + FIRST_EVENT_S
        return self.load.first_event(name, self.now)

    def pause(self, name, seconds, count=1, state=IDLE):
        """Lets time pass until the next events of a stream."""
        self.now += seconds
        if state is not None:
            self.load.record_others(state, self.now)
        return self.load.events(name, count, self.now)

    def share(self, born_ms=0):
        """Returns the entry's share."""
        return self.load.share(ENGINE, self.now, self.now, born_ms, {}, {})

    def report(self, ledger, name):
        """Reports the share to the engine's owner."""
        ledger.record_share(name, self.share(), self.now)


class MeasuredRateTest(TestCase):
    """Guards against entries that learn of a slow engine only by themselves."""

    def test_three_entries_tell_a_fourth(self):
        ledger = EndpointLedger(ENGINE, MEMORY, 0)
        for name in "abc":
            entry = Entry()
            self.assertTrue(entry.read("x"))
            entry.report(ledger, name)
        load = EngineLoad(MEMORY, 64)
        load.record_pace(ledger.state("d", 0.4).pace, 0.4)
        self.assertAlmostEqual(RATE, load.measured_rate, delta=200)

    def test_a_moment_does_not_choose_between_engines(self):
        """Guards against prompts that crowd where no engine is slow just now.

        The moment is over before a prompt that went elsewhere is read there,
        and parts of it that an engine holds are read again.
        """
        load = EngineLoad(MEMORY, 64)
        before_s = load.first_event_s(1, 12_000)
        load.record_pace(EnginePace(RATE // 2, 40, 5, 0), 0.0)
        self.assertEqual(before_s, load.first_event_s(1, 12_000))

    def test_a_pace_that_nobody_repeats_is_dropped(self):
        """Guards against a moment that counts for good after an owner died."""
        load = EngineLoad(MEMORY, 64)
        load.record_pace(EnginePace(RATE, 40, 5, 0), 0.0)
        load.record_pace(None, 1.0)
        load.tick(1.9)
        self.assertEqual((RATE, 0.04), (load.measured_rate, load.event_s))
        load.tick(2.1)
        self.assertEqual(
            (DEFAULT_RATE, DEFAULT_EVENT_S),
            (load.measured_rate, load.event_s),
        )

    def test_a_prompt_behind_longer_ones_measures_nothing(self):
        """Guards against a rate from tokens that had long been read."""
        busy = EndpointState(ENGINE, (0, 30_000), 30_000, 3)
        self.assertFalse(Entry().read("x", state=busy))

    def test_a_prompt_beside_unknown_ones_measures_nothing(self):
        """Guards against an engine that looks slow by others' prompts."""
        self.assertFalse(Entry().read("x", state=None))

    def test_an_engine_with_many_streams_is_measured(self):
        """Guards against busy engines whose pace nobody knows."""
        busy = EndpointState(ENGINE, (0, 3_000), 40_000, 60)
        entry = Entry()
        self.assertTrue(entry.read("x", RATE * 12 / 15, busy))
        rate = entry.share().pace.tokens_per_s
        self.assertAlmostEqual(RATE, rate, delta=200)

    def test_each_prompt_is_measured_once(self):
        entry = Entry()
        self.assertTrue(entry.read("x"))
        self.assertFalse(entry.load.first_event("x", entry.now + 1))


class NothingKnownTest(TestCase):
    """Guards against other choices where nothing was measured."""

    def test_todays_rate_holds_until_a_pace_is_known(self):
        load = EngineLoad(MEMORY, 64)
        ledger = EndpointLedger(ENGINE, MEMORY, 0)
        load.record_pace(ledger.state("a", 0.0).pace, 0.0)
        self.assertEqual(DEFAULT_RATE, load.measured_rate)
        self.assertIs(None, ledger.pace(0.0))

    def test_todays_rate_holds_where_only_idle_events_are_known(self):
        load = EngineLoad(MEMORY, 64)
        load.record_pace(EnginePace(0, 40, 5, 0), 0.0)
        self.assertEqual(
            (DEFAULT_RATE, 0.04), (load.measured_rate, load.event_s)
        )

    def test_routes_that_name_no_pause_measure_nothing(self):
        entry = Entry(gap_s=0.0)
        self.assertFalse(entry.read("x"))
        entry.pause("x", 0.05)
        self.assertFalse(entry.pause("x", 0.05))
        self.assertIs(None, entry.share().pace)

    def test_own_rate_is_learned_as_before(self):
        entry = Entry(gap_s=0.0)
        entry.read("x", 50_000)
        self.assertAlmostEqual(DEFAULT_RATE - 2_500, entry.load.rate, 0)


class EventsTest(TestCase):
    """Guards against time between events that isn't the engine's."""

    def stream(self):
        """Returns an entry whose stream has had its first event."""
        entry = Entry()
        entry.read("x")
        entry.pause("x", 0.0)
        return entry

    def test_events_without_prefill_tell_their_time(self):
        entry = self.stream()
        self.assertTrue(entry.pause("x", 0.04))
        self.assertTrue(entry.pause("x", 0.08, count=2))
        self.assertEqual(40, entry.share().pace.event_ms)

    def test_a_reader_that_pauses_is_not_a_slow_engine(self):
        entry = self.stream()
        self.assertFalse(entry.pause("x", 0.04, count=0))
        self.assertFalse(entry.pause("x", 3.0))
        self.assertTrue(entry.pause("x", 0.04))
        self.assertEqual(40, entry.share().pace.event_ms)

    def test_events_beside_unknown_prompts_measure_nothing(self):
        """Guards against other entries' prompts that make events look slow."""
        entry = self.stream()
        self.assertFalse(entry.pause("x", 0.6, state=None))
        self.assertFalse(entry.pause("x", 0.04))
        self.assertTrue(entry.pause("x", 0.04))

    def test_events_of_ended_streams_measure_nothing(self):
        entry = self.stream()
        entry.load.ended("x")
        self.assertFalse(entry.pause("x", 0.04))

    def test_events_beside_much_prefill_tell_what_fits_and_then_the_rate(self):
        entry = self.stream()
        busy = EndpointState(ENGINE, (0, 60_000), 60_000, 5)
        entry.pause("x", 0.04)
        for _ in range(8):
            entry.load.record_pace(EnginePace(RATE, 40, 5, 0), entry.now)
            entry.pause("x", 0.04 + 9_000 / RATE, state=busy)
        pace = entry.share().pace
        self.assertAlmostEqual(9_000, pace.event_tokens, delta=600)
        self.assertAlmostEqual(RATE, pace.tokens_per_s, delta=2_500)


class StartsTest(TestCase):
    """Guards against the pace of an earlier start of an engine."""

    def test_a_start_under_the_same_id_has_no_pace(self):
        facts = EndpointFacts(MEMORY, 1.0, open=True, sound=True, born_ms=1)
        ledgers = Ledgers(lambda _: facts)
        before = ledgers.of(ENGINE, 1_000)
        for name in "abc":
            entry = Entry()
            entry.read("x")
            entry.report(before, name)
        self.assertIsNot(None, ledgers.of(ENGINE, 1_000).pace(0.4))
        self.assertIs(None, ledgers.of(ENGINE, 2_000).pace(0.4))


class ReleasesTest(TestCase):
    """Guards against entries of two releases that cannot read each other."""

    def test_shares_and_states_without_a_pace_are_read(self):
        for message in (WorkShare(ENGINE, (), 0, 0), IDLE):
            old = msgspec.to_builtins(message)[:-1]
            packed = msgspec.msgpack.encode(old)
            read = msgspec.msgpack.decode(packed, type=type(message))
            self.assertEqual(message, read)

    def test_a_pace_arrives_as_it_was_sent(self):
        pace = EnginePace(RATE, 40, 5, 120, 9_000)
        share = WorkShare(ENGINE, (), 0, 0, pace=pace)
        packed = msgspec.msgpack.encode(share)
        self.assertEqual(share, msgspec.msgpack.decode(packed, type=WorkShare))
