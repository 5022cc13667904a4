"""A leaving process gets no new work and cuts nothing off."""

from testtools import TestCase
from twisted.internet.defer import Deferred, ensureDeferred

from magnolialug.entry.retryloop import Served
from magnolialug.result import Code, Executed
from magnolialug.sidecar.answer import WINDOW
from magnolialug.standin.engine import answer_piece
from tests.harness import Cluster


class LeavingTest(TestCase):
    """Planned stops."""

    def stream(self, cluster, number, count=40):
        call = cluster.prompt(f"prompt {number}", count)
        return cluster.call(number % 2, call)

    def check_whole(self, cluster, outcome, count=40):
        self.assertIsInstance(cluster.finish(outcome), Served, outcome.result)
        expected = [
            answer_piece(outcome.call.body, n + 1) for n in range(count)
        ]
        self.assertEqual("".join(expected), outcome.sink.text)

    def test_sidecar_stops_with_streams_and_a_queue(self):
        """An endpoint leaves in the middle of its work.

        Symptom: cut answers, or new work minutes after the drain began.
        Sequence: streams run and wait at both endpoints; one is told to stop
        while the list still names it. Cause: the list lags; the sidecar's
        refusal reroutes what waits and what still comes.
        """
        cluster = Cluster(bookings=0)
        outcomes = [self.stream(cluster, n) for n in range(24)]
        cluster.run(0.05)
        stop = ensureDeferred(cluster.sidecars["model-1"].stop())
        cluster.run(0.2)
        runs = cluster.engines["model-1"].runs
        outcomes += [self.stream(cluster, 100 + n) for n in range(6)]
        for outcome in outcomes:
            self.check_whole(cluster, outcome)
        self.assertEqual(runs, cluster.engines["model-1"].runs)
        cluster.run(1)
        self.assertEqual([], stop.result)

    def test_both_ends_stop_at_once_during_a_kv_outage(self):
        """Entries and sidecars are all replaced while the KV is away.

        Symptom: answers are cut, or a stop hangs on a call to the KV.
        Cause: a drain needs nothing but the two ends.
        """
        cluster = Cluster()
        outcomes = [self.stream(cluster, n) for n in range(8)]
        cluster.run(0.05)
        cluster.kv.faults.down = True
        apps = [*cluster.entries, *cluster.sidecars.values()]
        stops = [ensureDeferred(app.stop()) for app in apps]
        for outcome in outcomes:
            self.check_whole(cluster, outcome)
        cluster.run(2)
        for stop in stops:
            self.assertIn(stop.result, (0, []))

    def test_fresh_entry_is_ready_when_it_reaches_every_service(self):
        """The balancer sends calls to an entry that has just started.

        Symptom: a booking is refused for want of an endpoint, beside idle
        ones. Sequence: the entry reaches a model endpoint, says that it is
        ready, and reaches the booking endpoints a moment later. Cause: one
        connection was taken for all; seen once as 503 in the process test.
        """
        cluster = Cluster(bookings=1)
        cluster.net.unreachable.add("booking-1")
        fresh = cluster.new_entry()
        cluster.run(1)
        self.assertFalse(fresh.ready())
        cluster.net.unreachable.clear()
        cluster.run(3)
        self.assertTrue(fresh.ready())
        cluster.net.unreachable.add("booking-1")
        other = cluster.new_entry()
        cluster.run(11)
        self.assertTrue(other.ready())

    def test_draining_entry_is_not_ready_and_refuses(self):
        cluster = Cluster(bookings=0)
        app = cluster.entries[0]
        self.assertTrue(app.ready())
        running = self.stream(cluster, 0)
        cluster.run(0.05)
        stop = ensureDeferred(app.stop())
        self.assertFalse(app.ready())
        late = cluster.finish(cluster.call(0, cluster.prompt("late")))
        self.assertEqual(
            (Code.DRAINING, Executed.NO), (late.code, late.executed)
        )
        self.check_whole(cluster, running)
        cluster.run(1)
        self.assertEqual(0, stop.result)

    def test_drain_limit_reports_what_is_left(self):
        cluster = Cluster(bookings=0, models=1, limits={"drain_s": 1.0})
        call = cluster.prompt("long", 120)
        outcome = cluster.call(0, call)
        cluster.run(0.1)
        cluster.engines["model-1"]._running[0].pause()
        stop = ensureDeferred(cluster.sidecars["model-1"].stop())
        cluster.run(2)
        self.assertEqual([outcome.sink.request_id], stop.result)

    def test_answer_is_handed_over_before_the_stop(self):
        """A slow caller has not yet read what the endpoint has finished.

        Symptom: the end of the answer is missing. Sequence: the run ends,
        the sidecar stops, the caller reads on. Cause: a run's end is not the
        answer's end; the sidecar waits for the last ack.
        """
        cluster = Cluster(bookings=0, models=1)
        outcome = self.stream(cluster, 0, WINDOW // 2)
        outcome.sink.gate = gate = Deferred()
        cluster.run(1)
        stop = ensureDeferred(cluster.sidecars["model-1"].stop())
        cluster.run(1)
        self.assertFalse(stop.called)
        outcome.sink.gate = None
        gate.callback(None)
        self.check_whole(cluster, outcome, WINDOW // 2)
        cluster.run(1)
        self.assertEqual([], stop.result)
