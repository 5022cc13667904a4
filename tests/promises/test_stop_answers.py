"""Calls that outlast the drain limit of a planned stop."""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred

from magnolialug.entry.retryloop import Served
from magnolialug.result import Code, Executed
from magnolialug.standin.engine import answer_piece
from tests.harness import Cluster, Gathered

_DRAIN_S = 1.0
_PIECES = 120


class StopAnswersTest(TestCase):
    """Each caller has a true answer before the process ends."""

    def setUp(self):
        super().setUp()
        limits = {"drain_s": _DRAIN_S}
        self.cluster = Cluster(bookings=1, models=1, limits=limits)

    def stop(self, app):
        """Stops a process; returns when it has ended."""
        stop = ensureDeferred(app.stop())
        self.cluster.run(_DRAIN_S + 0.5)
        self.assertTrue(stop.called)

    def paused_stream(self):
        """Returns a call whose endpoint stands still, and its run."""
        call = self.cluster.prompt("long", _PIECES)
        outcome = self.cluster.call(0, call)
        self.cluster.run(0.1)
        (run,) = self.cluster.engines["model-1"]._running
        run.pause()
        return outcome, run

    def test_entry_answers_a_call_that_still_runs(self):
        """Guards against callers whose connections are reset."""
        outcome, _ = self.paused_stream()
        self.stop(self.cluster.entries[0])
        self.assertEqual(
            (Code.OUTCOME_UNKNOWN, Executed.UNKNOWN),
            (outcome.result.code, outcome.result.executed),
        )

    def test_answer_of_such_a_call_is_had_through_another_entry(self):
        """Guards against a run that is cancelled by the stop of an entry."""
        outcome, run = self.paused_stream()
        self.stop(self.cluster.entries[0])
        run.resume()
        self.cluster.run(2)
        sink = Gathered()
        request_id = outcome.sink.request_id
        replay = ensureDeferred(
            self.cluster.entries[1].replay("members", request_id, 0, sink)
        )
        self.cluster.run(1)
        self.assertIsInstance(replay.result, Served)
        expected = [
            answer_piece(outcome.call.body, n + 1) for n in range(_PIECES)
        ]
        self.assertEqual("".join(expected), sink.text)

    def test_entry_answers_a_booking_that_still_runs(self):
        """Guards against a booking that is told of as not run."""
        self.cluster.engines["booking-1"].work_s = 30.0
        outcome = self.cluster.call(0, self.cluster.booking("k1"))
        self.cluster.run(0.2)
        self.stop(self.cluster.entries[0])
        self.assertEqual(Executed.UNKNOWN, outcome.result.executed)
        self.assertEqual(1, self.cluster.runs)

    def test_callers_of_a_sidecar_that_stops_are_answered(self):
        """Guards against a call that waits for an endpoint that has left."""
        self.cluster.engines["booking-1"].work_s = 30.0
        outcome = self.cluster.call(0, self.cluster.booking("k1"))
        self.cluster.run(0.2)
        self.stop(self.cluster.sidecars["booking-1"])
        self.cluster.net.unreachable.add("booking-1")
        result = self.cluster.finish(outcome, limit_s=16)
        self.assertEqual(Executed.UNKNOWN, result.executed)
        self.assertEqual(1, self.cluster.runs)
