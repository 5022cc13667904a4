"""A non-idempotent request runs at most once, whatever is lost."""

from testtools import TestCase

from magnolialug.entry.retryloop import Served
from magnolialug.result import Code, Executed, Failure
from tests.harness import Cluster, Fate, remember_dispatches


def cut_at(number: int, fate: Fate):
    """Returns a network's decision that strikes one write, counted from 0."""
    seen = [0]

    def decide(transport, data) -> Fate:
        seen[0] += 1
        return fate if seen[0] == number + 1 else Fate.DELIVER

    return decide


class AtMostOnceTest(TestCase):
    """Bookings under failures."""

    def check(self, cluster, outcomes):
        """Holds the promise against what callers heard."""
        self.assertLessEqual(cluster.runs, 1)
        for outcome in outcomes:
            result = outcome.result
            self.assertIsNotNone(result)
            if isinstance(result, Served):
                self.assertEqual(1, cluster.runs)
                self.assertIn('"run":1', outcome.sink.text)
                self.assertEqual(1, outcome.sink.text.count('"run"'))
            elif result.executed is Executed.NO:
                self.assertEqual(0, cluster.runs, result)

    def test_connection_cut_at_every_message(self):
        """A connection is lost at each point of a booking.

        Symptom: a family is charged twice, or told "not run" and charged.
        Sequence: one write, each in turn, is lost with its connection, before
        or after it arrives; the caller then tries again with the same key
        through the other entry.
        Cause: a lost connection does not tell whether the request ran.
        """
        for fate in (Fate.CUT_BEFORE, Fate.CUT_AFTER, Fate.SILENCE):
            for number in range(12):
                cluster = Cluster(seed=number, models=0)
                cluster.net.fate = cut_at(number, fate)
                first = cluster.call(0, cluster.booking("trip"))
                cluster.finish(first)
                self.check(cluster, [first])
                again = cluster.call(1, cluster.booking("trip"))
                cluster.finish(again)
                self.check(cluster, [again])
                self.assertIsInstance(
                    again.result, Served, (fate, number, again.result)
                )

    def test_entries_race_one_key(self):
        """Two entries get the same booking at once.

        Symptom: two runs. Sequence: both entries find no claim and write
        one. Cause: only one create-if-absent can win; the other follows it.
        """
        cluster = Cluster(models=0)
        calls = [cluster.call(n % 2, cluster.booking("trip")) for n in range(4)]
        for outcome in calls:
            cluster.finish(outcome)
        self.assertEqual(1, cluster.runs)
        self.check(cluster, calls)

    def test_kv_applies_a_write_and_loses_its_answer(self):
        """The claim is written, but its writer does not hear of it.

        Symptom: refused though a claim stands, or run twice. Sequence: the
        KV applies the claim, the answer is lost, once or several times.
        Cause: an unanswered write may have taken effect; it is read back.
        """
        for lost in (1, 2, 3):
            cluster = Cluster(models=0)
            warm = cluster.call(0, cluster.booking("warm-up"))
            cluster.finish(warm)
            cluster.run(1)
            before = cluster.runs
            cluster.kv.faults.lose_answers = lost
            outcome = cluster.call(0, cluster.booking("trip"))
            cluster.finish(outcome)
            self.assertIsInstance(outcome.result, Served)
            self.assertEqual(before + 1, cluster.runs)

    def test_kv_away(self):
        """The KV is down for longer than the kind's wait.

        Symptom: a booking runs unclaimed, or its caller waits for ever.
        Sequence: the KV goes down before the claim. Cause: without a claim
        nothing may run, so it is refused as not run within the wait.
        """
        cluster = Cluster(models=0)
        cluster.kv.faults.down = True
        outcome = cluster.call(0, cluster.booking("trip"))
        result = cluster.finish(outcome)
        self.assertEqual(Code.KV_UNAVAILABLE, result.code)
        self.assertEqual(Executed.NO, result.executed)
        self.assertEqual(0, cluster.runs)
        self.assertLessEqual(
            cluster.clock.seconds(), outcome.call.deadline + 0.2
        )
        cluster.kv.faults.down = False
        again = cluster.call(1, cluster.booking("trip"))
        self.assertIsInstance(cluster.finish(again), Served)
        self.assertEqual(1, cluster.runs)

    def test_entry_dies_at_every_step(self):
        """The entry is gone between claim, dispatch, run and answer.

        Symptom: the booking is lost or doubled. Sequence: the entry dies
        after each hundredth of a second; the caller returns with the same
        key through another entry. Cause: the claim names the attempt; its
        sidecar answers for it or seals it.
        """
        for steps in range(12):
            cluster = Cluster(models=0)
            cluster.call(0, cluster.booking("trip"))
            cluster.run(steps * 0.01)
            cluster.kill_entry(0)
            again = cluster.call(1, cluster.booking("trip"))
            cluster.finish(again)
            self.check(cluster, [again])
            self.assertIsInstance(again.result, Served, steps)

    def test_sidecar_restarts_at_every_step(self):
        """The sidecar forgets everything while a booking is under way.

        Symptom: a second run after the restart. Sequence: the sidecar is
        replaced after each hundredth of a second; the caller tries again.
        Cause: its memory of the attempt is gone, so an attempt of the old
        incarnation is never run by the new one, and unless the claim holds
        the answer its outcome stays unknown.
        """
        for steps in range(12):
            cluster = Cluster(models=0, bookings=1)
            first = cluster.call(0, cluster.booking("trip"))
            cluster.run(steps * 0.01)
            cluster.start_sidecar("booking-1")
            cluster.finish(first)
            again = cluster.call(1, cluster.booking("trip"))
            cluster.finish(again)
            self.check(cluster, [first, again])

    def test_paused_entry_wakes_after_its_claim_was_moved(self):
        """An old dispatch arrives after a duplicate has run elsewhere.

        Symptom: two runs. Sequence: entry 1 claims and its dispatch is held
        up; a duplicate through entry 2 asks the sidecar, which seals the
        attempt, and runs it anew; then the old dispatch arrives.
        Cause: without the seal the sidecar would take it for new work.
        """
        cluster = Cluster(models=0)
        held = []

        def hold_dispatch(transport, data):
            if b"dispatch" in data and not held:
                held.append((transport.peer, data))
                return Fate.HOLD
            return Fate.DELIVER

        cluster.net.fate = hold_dispatch
        cluster.call(0, cluster.booking("trip"))
        cluster.run(0.05)
        self.assertEqual(1, len(held))
        again = cluster.call(1, cluster.booking("trip"))
        self.assertIsInstance(cluster.finish(again), Served)
        cluster.net.deliver(*held[0])
        cluster.run(5)
        self.assertEqual(1, cluster.runs)

    def test_connection_goes_silent_for_good(self):
        """Messages vanish without any error.

        Symptom: a caller waits for ever, or is told "not run" of a run.
        Sequence: all connections go silent at some step of a booking; new
        ones work. Cause: something between the ends lost track of them; the
        heartbeat finds out and the answer is asked for again.
        """
        for steps in range(8):
            cluster = Cluster(models=0)
            first = cluster.call(0, cluster.booking("trip"))
            cluster.run(steps * 0.01)
            cluster.net.silence()
            cluster.finish(first)
            again = cluster.call(1, cluster.booking("trip"))
            cluster.finish(again)
            self.check(cluster, [first, again])

    def test_duplicates_overtake_the_dispatch(self):
        """Duplicates ask for an attempt that is still on its way.

        Symptom: all of them are refused, beside an idle endpoint; seen as
        503 in one of five runs of the process test. Sequence: entry 1
        claims; before its dispatch arrives, duplicates through entry 2 find
        the claim and ask the sidecar, which seals the attempt; the dispatch
        is refused, and the only endpoint counts as tried. Cause: a duplicate
        sealed at once, and a seal was taken for an endpoint's refusal.
        """
        cluster = Cluster(models=0, bookings=1)

        def delay_dispatch(transport, data):
            if b"dispatch" not in data:
                return Fate.DELIVER
            cluster.clock.callLater(
                0.2, cluster.net.deliver, transport.peer, data
            )
            return Fate.HOLD

        cluster.net.fate = delay_dispatch
        calls = [cluster.call(0, cluster.booking("trip"))]
        cluster.run(0.02)
        calls += [cluster.call(1, cluster.booking("trip")) for _ in range(3)]
        for outcome in calls:
            self.assertIsInstance(cluster.finish(outcome), Served, outcome)
        self.assertEqual(1, cluster.runs)

    def test_only_endpoint_is_tried_again_after_a_seal(self):
        """An entry dies between claim and dispatch; one endpoint is left.

        Symptom: the caller that returns is refused for want of an endpoint.
        Cause: the seal, which lets the claim move, counted as the
        endpoint's refusal.
        """
        cluster = Cluster(models=0, bookings=1)
        cluster.net.fate = lambda transport, data: (
            Fate.HOLD if b"dispatch" in data else Fate.DELIVER
        )
        cluster.call(0, cluster.booking("trip"))
        cluster.run(0.02)
        cluster.kill_entry(0)
        cluster.net.fate = lambda transport, data: Fate.DELIVER
        again = cluster.call(1, cluster.booking("trip"))
        self.assertIsInstance(cluster.finish(again), Served, again.result)
        self.assertEqual(1, cluster.runs)

    def test_reused_key_with_another_body(self):
        """One key, two bookings.

        Symptom: the second booking gets the first one's answer. Cause: the
        claim is found by its key alone, so it carries the body's digest.
        """
        cluster = Cluster(models=0)
        cluster.finish(cluster.call(0, cluster.booking("trip")))
        other = cluster.call(1, cluster.booking("trip", '{"canoe": 2}'))
        self.assertEqual(Code.KEY_REUSED, cluster.finish(other).code)
        self.assertEqual(1, cluster.runs)

    def test_answer_outlives_the_sidecar(self):
        """A duplicate comes after the sidecar was replaced.

        Symptom: "outcome unknown" for a booking that was answered. Cause:
        the sidecar's memory is gone; the answer stands beside the claim.
        """
        cluster = Cluster(models=0)
        first = cluster.call(0, cluster.booking("trip"))
        cluster.finish(first)
        cluster.run(1)
        for name in list(cluster.sidecars):
            cluster.start_sidecar(name)
        cluster.run(1)
        again = cluster.call(1, cluster.booking("trip"))
        cluster.finish(again)
        self.assertEqual(first.sink.text, again.sink.text)
        self.assertEqual(1, cluster.runs)

    def test_large_body_of_a_plain_service(self):
        """A booking with a long list of names.

        Symptom: refused as too late at an idle endpoint. Cause: its bytes
        were counted as prompt tokens, which a plain service does not
        prefill.
        """
        cluster = Cluster(models=0)
        names = "Kis Anna, " * 20_000
        body = f'{{"names": "{names}"}}'
        outcome = cluster.call(0, cluster.booking("trip", body))
        self.assertIsInstance(cluster.finish(outcome), Served, outcome.result)

    def test_refusals_are_final(self):
        """A refused attempt arrives again.

        Symptom: a request refused as not run runs later. Sequence: the
        endpoint drains and refuses a booking; the same dispatch comes again.
        Cause: the sidecar remembers the refusal.
        """
        cluster = Cluster(models=0, bookings=1)
        seen = remember_dispatches(cluster.net)
        sidecar = cluster.sidecars["booking-1"]
        sidecar.gate.draining = True
        outcome = cluster.call(0, cluster.booking("trip"))
        result = cluster.finish(outcome)
        self.assertIsInstance(result, Failure)
        self.assertEqual(Executed.NO, result.executed)
        sidecar.gate.draining = False
        for peer, data in seen:
            cluster.net.deliver(peer, data)
        cluster.run(2)
        self.assertEqual(0, cluster.runs)
