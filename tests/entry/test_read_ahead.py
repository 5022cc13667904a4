"""Answers that are read ahead of their callers."""

from testtools import TestCase

from magnolialug.entry.gatewaysink import GatewaySink
from magnolialug.eventgaps.meter import GapMeter
from magnolialug.policy.memorybudget import Charge, MemoryBudget

_LIMIT_BYTES = 8_000_000
_LONE_BYTES = _LIMIT_BYTES // 8
_PIECE = b"x" * 65_536


class _Request:
    """A request whose caller reads nothing, and what is held for it."""

    def __init__(self, budget):
        self.budget = budget
        self.charge = Charge()

    @property
    def may_read_ahead(self):
        return self.budget.has_room_ahead(self.charge)

    def write(self, data):
        self.budget.set(self.charge, self.charge.size + len(data))


class _Source:
    """An endpoint that sends until it is paused."""

    def __init__(self, sink):
        self.is_paused = False
        self._sink = sink
        sink.set_source(self)

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def send_on(self):
        """Sends what the sink takes, up to the budget."""
        for _ in range(_LIMIT_BYTES // len(_PIECE)):
            if self.is_paused:
                return
            self._sink.data(_PIECE)


class ReadAheadTest(TestCase):
    """What is held ahead is bounded, for one caller and for all."""

    def setUp(self):
        super().setUp()
        self.budget = MemoryBudget(_LIMIT_BYTES)

    def unread(self):
        """Returns an answer of which its caller reads nothing."""
        req = _Request(self.budget)
        sink = GatewaySink(req)
        source = _Source(sink)
        sink.pauseProducing()
        source.send_on()
        return req, sink, source

    def test_one_answer_is_read_ahead_up_to_its_bound(self):
        """Guards against back pressure while there is memory to spare."""
        req, _, source = self.unread()
        self.assertTrue(source.is_paused)
        self.assertGreaterEqual(req.charge.size, _LONE_BYTES)
        self.assertLess(req.charge.size, _LONE_BYTES + len(_PIECE))

    def test_all_answers_together_leave_half_for_requests(self):
        """Guards against answers that take the room of requests."""
        rows = [self.unread() for _ in range(8)]
        self.assertLess(self.budget.held_bytes, _LIMIT_BYTES // 2 + len(_PIECE))
        self.assertTrue(all(source.is_paused for _, _, source in rows))

    def test_caller_that_reads_again_lets_the_endpoint_go_on(self):
        """Guards against an endpoint that stays paused."""
        req, sink, source = self.unread()
        self.budget.set(req.charge, 0)
        sink.resumeProducing()
        self.assertFalse(source.is_paused)
        source.send_on()
        self.assertFalse(source.is_paused)

    def test_events_are_not_read_ahead(self):
        """Guards against pauses of a caller that nobody measures."""
        sink = GatewaySink(_Request(self.budget))
        sink.meter = GapMeter(lambda: 0.0)
        source = _Source(sink)
        sink.pauseProducing()
        self.assertTrue(source.is_paused)

    def test_another_source_is_paused_too(self):
        """Guards against a second attempt that is read without bound."""
        _, sink, _ = self.unread()
        other = _Source(sink)
        self.assertTrue(other.is_paused)
