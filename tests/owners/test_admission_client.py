"""Prompts that wait on the lists of several engines."""

from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.owners.admissionclient import AdmissionRequest
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.result import Code, Failure
from tests.owners.fleet import MEMORY, Fleet


class AdmissionClientTest(TestCase):
    """The first engine with room takes the prompt."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(Clock(), 6, 4)
        self.entries = list(self.fleet.entries.values())
        self.turns = []

    def fill(self, *engines):
        """Fills engines with another entry's work."""
        for engine in engines:
            self.entries[0].sends(engine, unread=0, held=MEMORY)
        self.fleet.pass_time(0.02)

    def wait(self, entry=None, engines=("i-0", "i-1"), tokens=12_000, **times):
        """Puts a prompt on some lists; its turn goes to `turns`."""
        now = self.fleet.clock.seconds()
        waiting = WaitingPrompt(
            number=0,
            priority=1,
            target_at=now + times.get("target_s", 0.6),
            ends_at=now + times.get("ends_s", 1.4),
        )
        bids = [AdmissionRequest(engine, tokens, tokens) for engine in engines]
        entry = entry or self.entries[1]
        turn = entry.owners.admission_client.enqueue(waiting, bids, ahead_s=0.5)
        turn.addCallback(self.turns.append)
        turn.addErrback(lambda reason: None)
        self.fleet.pass_time(0.01)
        return turn

    def places(self):
        """Returns how many places are taken on all lists."""
        return sum(
            entry.owners.admission_queues.waiting for entry in self.entries
        )

    def test_it_goes_where_room_comes_first(self):
        self.fill("i-0", "i-1")
        self.wait()
        self.fleet.pass_time(0.3)
        self.assertEqual(([], 2), (self.turns, self.places()))
        self.entries[0].ends("i-1")
        self.fleet.pass_time(0.06)
        self.assertEqual((["i-1"], 0), (self.turns, self.places()))

    def test_room_for_one_is_given_to_one(self):
        """Sixty-eight lists see the same room at the same moment.

        Symptom: engines are given several times what their memory holds.
        Cause: each entry let its own prompts go by what it believed.
        """
        self.fill("i-0")
        for entry in self.entries[1:]:
            self.wait(entry, engines=("i-0",), tokens=100_000)
        self.entries[0].ends("i-0")
        self.fleet.pass_time(0.05)
        self.assertEqual(["i-0"], self.turns)

    def test_a_promise_that_is_not_used_lapses(self):
        self.fill("i-0")
        first, second = self.entries[1:3]
        self.wait(first, engines=("i-0",), tokens=100_000)
        first.alive = False
        self.wait(second, engines=("i-0",), tokens=100_000)
        self.entries[0].ends("i-0")
        self.fleet.pass_time(0.2)
        self.assertEqual(["i-0"], self.turns)

    def test_who_leaves_is_taken_from_all_lists(self):
        self.fill("i-0", "i-1")
        turn = self.wait()
        turn.cancel()
        self.fleet.pass_time(0.01)
        self.assertEqual(0, self.places())
        self.assertEqual(0, self.entries[1].owners.admission_client.waiting)

    def test_who_is_not_let_go_in_time_is_refused(self):
        self.fill("i-0", "i-1")
        self.wait(ends_s=0.5)
        self.fleet.pass_time(0.8)
        (refused,) = self.turns
        self.assertIsInstance(refused, Failure)
        self.assertEqual(Code.NO_ROOM, refused.code)
        self.assertEqual(0, self.places())

    def test_who_waits_goes_on_when_a_home_dies(self):
        """The owner of an engine dies while prompts wait there.

        Symptom: they are refused after a second although other engines have
        room. Cause: only an owner's word ended the wait.
        """
        self.fill("i-0")
        owner = self.fleet.owner("i-0")
        entry = next(e for e in self.entries[1:] if e is not owner)
        self.wait(entry, engines=("i-0",))
        owner.alive = False
        self.fleet.pass_time(0.8)
        self.assertEqual([None], self.turns)

    def test_an_engine_that_is_gone_is_not_waited_for(self):
        self.fill("i-0", "i-1")
        self.wait()
        self.fleet.engines.remove("i-0")
        self.fleet.pass_time(0.3)
        self.assertEqual(([], 1), (self.turns, self.places()))
        self.fleet.engines.remove("i-1")
        self.fleet.pass_time(0.3)
        self.assertEqual([None], self.turns)

    def test_lost_words_are_said_again(self):
        self.fill("i-0")
        self.fleet.loses = lambda sender, to: True
        self.wait(engines=("i-0",))
        self.fleet.loses = lambda sender, to: False
        self.entries[0].ends("i-0")
        self.fleet.pass_time(0.5)
        self.assertEqual(["i-0"], self.turns)
