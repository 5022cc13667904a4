"""What an entry reports of a crash, and to whom."""

import msgspec
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.owners.ownerring import OwnerRing
from magnolialug.policy.requestidentity import RequestIdentity, part_names
from magnolialug.quarantine.crashdetector import LostAttempt
from magnolialug.quarantine.messages import PromptCrashReport
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.standin.kv import KvStore

# A datagram that no network on the way has to split.
MAX_MESSAGE_BYTES = 1400
ME = ("10.0.0.1", 7000)


class CrashedPool:
    """The connections to a crashed endpoint; a probe finds it closed.

    Args:
      missed: how many probes end too soon before.
    """

    def __init__(self, clock, missed=0):
        self._clock = clock
        self._missed = missed

    def probe(self, done):
        """Reports the crash a millisecond later."""
        self._missed -= 1
        self._clock.callLater(0.001, done, self._missed < 0)


class OneEntry:
    """A messenger of one entry, which keeps what is sent.

    Attributes:
      sent: each message with its receiver.
    """

    def __init__(self):
        self.sent = []
        self._handlers = {}

    def register_handler(self, message_type, handler):
        """Keeps a handler."""
        self._handlers[message_type] = handler

    def send(self, message, to):
        """Handles a message to this entry at once."""
        self.sent.append((message, to))
        if to == ME:
            self._handlers[type(message)](message, to)


def _lost(identity, clock, first_data_at=9e9):
    """Returns an attempt that was sent and lost now."""
    now = clock.seconds()
    return LostAttempt(identity, "", False, now, first_data_at, now)


class LateLossTest(TestCase):
    """What a crashed endpoint, or what stands before it, still loses."""

    def test_a_request_sent_after_the_crash_is_not_suspect(self):
        """Guards against quarantining requests that no endpoint has begun.

        What takes connections for two crashed endpoints closed them one after
        the other on the same sound request, which was then refused.
        """
        clock = Clock()
        quarantine = Quarantine(
            OwnerRing(ME, clock.seconds),
            OneEntry(),
            KvStore(clock),
            clock,
            lambda digest: None,
        )
        pool = CrashedPool(clock)
        cause = RequestIdentity("cause", "llm", "a")
        for endpoint in ("i-1", "i-2"):
            loss = _lost(cause, clock)
            quarantine.record_loss(endpoint, pool, loss)
            clock.advance(0.01)
        late = RequestIdentity("late", "llm", "a")
        for endpoint in ("i-1", "i-2"):
            loss = _lost(late, clock)
            quarantine.record_loss(endpoint, pool, loss)
            clock.advance(0.01)
        self.assertIsNotNone(quarantine.refusal(cause))
        self.assertIsNone(quarantine.refusal(late))


class OwnerTest(TestCase):
    """Who hears of lost prompts."""

    def test_an_entry_decides_by_itself_only_if_it_reaches_no_owner(self):
        """Guards against verdicts from one entry's losses alone.

        Its own losses in three crashes may be bystanders of one session, while
        the cause was sent by other entries.
        """
        clock, messenger = Clock(), OneEntry()
        ring = OwnerRing(ME, clock.seconds)
        ring.entries({(f"10.0.0.{number}", 7000): 1.0 for number in range(9)})
        quarantine = Quarantine(
            ring, messenger, KvStore(clock), clock, lambda digest: None
        )
        service = next(
            name
            for name in map(str, range(99))
            if ME not in ring.owner_candidates(f"crashes/{name}")
        )

        def receivers(endpoint):
            messenger.sent.clear()
            prompt = RequestIdentity("d", service, "a", ("first",))
            loss = _lost(prompt, clock)
            quarantine.record_loss(endpoint, CrashedPool(clock), loss)
            clock.advance(0.01)
            return {
                to
                for message, to in messenger.sent
                if isinstance(message, PromptCrashReport)
            }

        owners = set(ring.owner_candidates(f"crashes/{service}"))
        self.assertEqual(owners, receivers("i-1"))
        for owner in owners:
            ring.mark_unresponsive(owner)
        self.assertEqual({*owners, ME}, receivers("i-2"))

    def test_many_parts_with_long_names_go_in_small_messages(self):
        """Guards against reports that are dropped because they are too long.

        Names and numbers of parts are callers' own.
        """
        clock, messenger = Clock(), OneEntry()
        quarantine = Quarantine(
            OwnerRing(ME, clock.seconds),
            messenger,
            KvStore(clock),
            clock,
            lambda digest: None,
        )
        pool = CrashedPool(clock)
        wanted = {}
        for number in range(12):
            names = part_names(f"{number:050}{n:050}" for n in range(60))
            wanted[f"d{number}"] = set(names)
            prompt = RequestIdentity(f"d{number}", "llm", "a", names)
            loss = _lost(prompt, clock)
            quarantine.record_loss("i-1", pool, loss)
        clock.advance(0.01)
        found = {}
        for message, _ in messenger.sent:
            if isinstance(message, PromptCrashReport):
                size = len(msgspec.msgpack.encode(message))
                self.assertLessEqual(size, MAX_MESSAGE_BYTES)
                for row in message.prompts:
                    found.setdefault(row.digest, set()).update(row.parts)
        self.assertEqual(wanted, found)

    def test_a_crash_that_is_found_late_makes_no_answer(self):
        """Guards against a part that is cleared by the answer it cut short.

        Its first event came 5 ms before the crash, which was found 0.6 s
        later; that was taken for 0.6 s of an answer.
        """
        clock, messenger = Clock(), OneEntry()
        quarantine = Quarantine(
            OwnerRing(ME, clock.seconds),
            messenger,
            KvStore(clock),
            clock,
            lambda digest: None,
        )
        pool = CrashedPool(clock, missed=2)
        clock.advance(10.0)
        prompt = RequestIdentity("d", "llm", "a", ("dead",))
        loss = _lost(prompt, clock, clock.seconds() - 0.005)
        quarantine.record_loss("i-1", pool, loss)
        for _ in range(4):
            clock.advance(0.15)
        other = RequestIdentity("e", "llm", "a", ("other",))
        quarantine.record_loss("i-1", pool, _lost(other, clock))
        clock.advance(0.01)
        reports = [
            row.parts
            for message, _ in messenger.sent
            if isinstance(message, PromptCrashReport)
            for row in message.prompts
        ]
        self.assertEqual([("dead",), ("other",)], reports)
