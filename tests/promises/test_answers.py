"""Every caller gets the whole answer to its own request."""

from testtools import TestCase
from twisted.internet.defer import Deferred, ensureDeferred

from magnolialug.entry.retryloop import Served
from magnolialug.result import Code, Executed
from magnolialug.sidecar.answer import WINDOW
from magnolialug.standin.engine import answer_piece
from tests.harness import Cluster, Fate, Gathered, remember_dispatches
from tests.promises.test_at_most_once import cut_at

TOKENS = 12


def whole(body: str, count: int = TOKENS) -> str:
    return "".join(answer_piece(body, n + 1) for n in range(count))


class AnswersTest(TestCase):
    """Streams under failures."""

    def ask(
        self, cluster, entry=0, body="When is the river low?", count=TOKENS
    ):
        return cluster.call(entry, cluster.prompt(body, count))

    def check(self, cluster, outcome, count=TOKENS):
        result = cluster.finish(outcome)
        self.assertIsInstance(result, Served, result)
        self.assertEqual(whole(outcome.call.body, count), outcome.sink.text)

    def test_connection_lost_at_every_message(self):
        """A stream's connection is cut, or goes silent, at each message.

        Symptom: missing or doubled words. Sequence: one write, each in turn,
        is the last of its connection. Cause: pieces on the way are lost, and
        those asked for again may arrive twice; their numbers decide.
        """
        for fate in (Fate.CUT_BEFORE, Fate.CUT_AFTER, Fate.SILENCE):
            for number in range(0, 24, 2):
                cluster = Cluster(bookings=0)
                cluster.net.fate = cut_at(number, fate)
                self.check(cluster, self.ask(cluster))

    def test_every_message_twice(self):
        """Messages arrive doubled.

        Symptom: doubled words. Cause: a piece that was asked for again can
        come twice; one that is not the next is dropped.
        """
        cluster = Cluster(bookings=0)

        def twice(transport, data):
            cluster.net.deliver(transport.peer, data)
            return Fate.DELIVER

        cluster.net.fate = twice
        self.check(cluster, self.ask(cluster))

    def test_late_pieces_of_an_older_connection(self):
        """Crossed answers.

        Symptom: a caller gets pieces of another request, or old ones again.
        Sequence: pieces are held up while other requests run and end, then
        all arrive. Cause: connections are shared; what nobody waits for any
        more is dropped, the rest is sorted by request and number.
        """
        cluster = Cluster(bookings=0)
        late = []

        def hold_some(transport, data):
            if b"token" in data and len(late) < 5:
                late.append((transport.peer, data))
            return Fate.DELIVER

        cluster.net.fate = hold_some
        first = self.ask(cluster, body="one")
        second = self.ask(cluster, body="two")
        cluster.run(0.06)
        for peer, data in late:
            cluster.net.deliver(peer, data)
        self.check(cluster, first)
        self.check(cluster, second)
        third = self.ask(cluster, body="three")
        for peer, data in late:
            cluster.net.deliver(peer, data)
        self.check(cluster, third)

    def test_sidecar_dies_in_mid_answer(self):
        """An idempotent answer goes on elsewhere.

        Symptom: half an answer. Sequence: the sidecar is gone after some
        pieces. Cause: its memory is lost; another endpoint of the same
        weight version continues after what was delivered.
        """
        for steps in range(2, 12, 3):
            cluster = Cluster(bookings=0)
            outcome = self.ask(cluster)
            cluster.run(steps * 0.01)
            owner = outcome.sink.request_id.partition(".")[0]
            cluster.net.unreachable.add(owner)
            cluster.start_sidecar(owner)
            self.check(cluster, outcome)

    def test_lost_attempt_then_no_endpoint(self):
        """An attempt is lost and nobody else can take the request.

        Symptom: refused as not run, though the first attempt ran. Sequence:
        the only endpoint's sidecar is lost in mid-run; placing it again
        finds no endpoint. Cause: the last refusal spoke for all attempts.
        """
        cluster = Cluster(bookings=0, models=1)
        outcome = self.ask(cluster)
        cluster.run(0.01)
        self.assertEqual(1, len(cluster.handed))
        cluster.net.unreachable.add("model-1")
        cluster.start_sidecar("model-1")
        result = cluster.finish(outcome)
        self.assertEqual(Code.OUTCOME_UNKNOWN, result.code)
        self.assertEqual(Executed.UNKNOWN, result.executed)

    def test_entry_dies_and_the_caller_returns_through_another(self):
        """An answer outlives the entry that asked for it.

        Symptom: the answer is lost or paid for again. Sequence: the entry is
        gone in mid-stream; the caller asks another entry for the rest, by
        the id it was given. Cause: an entry keeps nothing; the sidecar
        named in the id does.
        """
        cluster = Cluster(bookings=0)
        outcome = self.ask(cluster)
        cluster.run(0.05)
        had = len(outcome.sink.pieces)
        self.assertGreater(had, 0)
        cluster.kill_entry(0)
        sink = Gathered()
        fut = ensureDeferred(
            cluster.entries[1].replay(
                "members", outcome.sink.request_id, had, sink
            )
        )
        cluster.run(3)
        self.assertIsInstance(fut.result, Served)
        self.assertEqual(
            whole(outcome.call.body), outcome.sink.text + sink.text
        )

    def test_answer_that_was_given_up_is_gone_and_not_run_again(self):
        """A caller comes back for an answer that had to make room.

        Symptom: the sidecar fails, or runs the request a second time. Cause:
        the record of a run outlives its answer.
        """
        cluster = Cluster(bookings=0, models=1)
        seen = remember_dispatches(cluster.net)
        outcome = self.ask(cluster)
        cluster.finish(outcome)
        sidecar = cluster.sidecars["model-1"]
        sidecar.answers.trim(0)
        cluster.net.deliver(*seen[0])
        fut = ensureDeferred(
            cluster.entries[1].replay(
                "members", outcome.sink.request_id, 0, Gathered()
            )
        )
        cluster.run(2)
        self.assertEqual(Code.ANSWER_GONE, fut.result.code)
        self.assertEqual(1, cluster.engines["model-1"].runs)

    def test_another_team_cannot_reread(self):
        """A guessed or leaked id.

        Symptom: one team reads another's answer. Cause: answers are looked
        up by team and id; a foreign id and an unknown one are alike.
        """
        cluster = Cluster(bookings=0)
        outcome = self.ask(cluster)
        cluster.finish(outcome)
        known = outcome.sink.request_id
        results = []
        for request_id in (known, known[:-1] + "x"):
            fut = ensureDeferred(
                cluster.entries[1].replay("renters", request_id, 0, Gathered())
            )
            cluster.run(2)
            results.append((fut.result.code, fut.result.executed))
        self.assertEqual([(Code.UNKNOWN_REQUEST, Executed.NO)] * 2, results)

    def test_slow_caller_stops_the_engine(self):
        """A caller that does not read.

        Symptom: memory grows with the answer, in the entry or the sidecar.
        Sequence: the caller takes one piece and no more for a while. Cause:
        without acks the sidecar sends a window and then pauses the engine.
        """
        cluster = Cluster(bookings=0)
        count = 10 * WINDOW
        call = cluster.prompt("slow", count, kind="river-briefing")
        outcome = cluster.call(0, call)
        outcome.sink.gate = gate = Deferred()
        cluster.run(20)
        owner = outcome.sink.request_id.partition(".")[0]
        produced = len(
            next(iter(cluster.sidecars[owner].answers._answers.values())).pieces
        )
        self.assertLessEqual(produced, 2 * WINDOW + 1)
        self.assertEqual(1, len(outcome.sink.pieces))
        outcome.sink.gate = None
        gate.callback(None)
        self.check(cluster, outcome, count)

    def test_caller_leaves(self):
        """An idempotent run that nobody waits for is cancelled."""
        cluster = Cluster(bookings=0)
        outcome = self.ask(cluster, count=100)
        cluster.run(0.1)
        outcome.fut.addErrback(lambda _: None)
        outcome.fut.cancel()
        cluster.run(0.1)
        self.assertEqual(
            [0, 0], [app.lineup.running for app in cluster.sidecars.values()]
        )

    def test_bad_frames_end_their_connection_only(self):
        """Frames that are no messages.

        Symptom: a process falls over, or another's connection ends. Cause:
        bytes from outside; the connection they came on is dropped with a
        numbered failure and its requests go on over a new one.
        """
        frames = (
            b"\x00\x00\x00\x03abc",
            b"\x7f\xff\xff\xff",
            b"\x00\x00\x00\x02\x91\xa1",
            b"\x00\x00\x00\x07\x92\xa4ping\xc0",
            b"\x00\x00\x00\x01\xc1",
        )
        for frame in frames:
            cluster = Cluster(bookings=0)
            outcome = self.ask(cluster)
            cluster.run(0.05)
            before = len(cluster.net.transports)
            struck = cluster.net.transports[0]
            cluster.net.deliver(struck, frame)
            cluster.net.deliver(struck.peer, frame)
            cluster.run(0.01)
            self.assertEqual(before - 2, len(cluster.net.transports))
            self.check(cluster, outcome)
