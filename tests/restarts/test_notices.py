"""What entries tell each other of ended starts, without a network.

The load: a third of the endpoints crash and are back at once, so that many
requests of each entry meet the same ended starts.
"""

import msgspec
from testtools import TestCase
from twisted.internet.task import Clock

from magnolialug.entry.directory import Directory
from magnolialug.entry.peermessenger import Message
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.policy.startreport import Evidence, StartReport
from magnolialug.restarts.messages import StartNotice
from magnolialug.restarts.wiring import Restarts

ADDRESS = ("10.1.0.1", 8080)
ENTRIES = 38
REPEAT_S = 0.4


class Ring:
    """The other entries."""

    others = [("10.0.0.9", 7000 + number) for number in range(ENTRIES - 1)]


class Messenger:
    """Collects what is sent, and delivers what is received."""

    def __init__(self):
        self.sent = []

    def register_handler(self, message_type, handler):
        """Sets the handler of a message type."""
        self.receive = handler

    def send(self, message, to):
        """Collects a message."""
        self.sent.append(message)


def entry(born_ms=1000, **changes):
    """Returns a registry entry."""
    row = RegisteredEndpoint(
        endpoint="i-1",
        service="llm",
        address=ADDRESS,
        zone="a",
        slots=6,
        leaving=False,
        born_ms=born_ms,
    )
    return msgspec.structs.replace(row, **changes)


class NoticesTest(TestCase):
    """One entry that tells others, and is told."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(100)
        self.directory = Directory(self.clock)
        self.directory.listed(entry())
        self.messenger = Messenger()
        self.counted = []
        self.restarts = Restarts(
            self.directory,
            Ring(),
            self.messenger,
            self.counted.append,
            self.clock,
        )
        self.pass_time(1)

    def pass_time(self, seconds):
        """Lets time pass."""
        self.clock.advance(seconds)
        self.restarts.tick(self.clock.seconds())

    @property
    def peer(self):
        """The endpoint's newest start."""
        return self.directory.peers["i-1"]

    @property
    def is_sound(self):
        """Whether the endpoint gets work while others could."""
        return self.peer.sound(self.clock.seconds())

    def receive(self, evidence=Evidence.REPLACED, age_ms=0, **changes):
        """Receives another entry's notice."""
        report = StartReport("i-1", 1000, ADDRESS, evidence, "i-2")
        report = msgspec.structs.replace(report, **changes)
        self.messenger.receive(StartNotice(report, age_ms), Ring.others[0])

    def test_each_start_is_told_once_to_each_entry_and_repeated(self):
        """Guards against datagrams that grow with refused requests."""
        peer = self.peer
        for _ in range(20):
            self.directory.handle_address_taken(peer, "i-2")
        self.assertEqual(ENTRIES - 1, len(self.messenger.sent))
        for _ in range(20):
            self.pass_time(REPEAT_S)
        self.assertEqual(2 * (ENTRIES - 1), len(self.messenger.sent))
        ages = {notice.age_ms for notice in self.messenger.sent}
        self.assertEqual({0, REPEAT_S * 1000}, ages)

    def test_who_was_told_does_not_tell(self):
        """Guards against notices that all entries pass on to all."""
        self.receive()
        self.directory.handle_address_taken(self.peer, "i-2")
        self.pass_time(REPEAT_S)
        self.assertEqual([], self.messenger.sent)
        self.assertTrue(self.peer.gone)

    def test_a_notice_that_does_not_apply_silences_nobody(self):
        """Guards against a false or old notice in place of a true one."""
        for changes in ({"address": ("10.1.0.2", 8080)}, {"age_ms": 60_000}):
            self.messenger.sent.clear()
            self.receive(**changes)
            start = self.peer.start_id
            now = self.clock.seconds()
            self.assertFalse(
                self.restarts._quiet.is_quiet(start, Evidence.REPLACED, now),
                changes,
            )
        self.directory.handle_address_taken(self.peer, "i-2")
        self.assertEqual(ENTRIES - 1, len(self.messenger.sent))

    def test_a_notice_closes_its_start_for_a_while(self):
        self.receive()
        self.assertFalse(self.is_sound)
        self.assertFalse(self.peer.gone)
        self.assertEqual(["entry"], self.counted)
        self.pass_time(4.1)
        self.assertTrue(self.is_sound)

    def test_other_starts_and_addresses_are_not_closed(self):
        """Guards against a late notice that closes the successor."""
        for changes in (
            {"born_ms": 900},
            {"born_ms": 1100},
            {"address": ("10.1.0.2", 8080)},
            {"endpoint": "i-3"},
            {"age_ms": 5000},
        ):
            self.receive(**changes)
            self.assertTrue(self.is_sound, changes)
        self.assertEqual([], self.counted)

    def test_a_start_in_use_is_not_closed(self):
        """Guards against a false notice that stops a busy endpoint."""
        self.peer.record_sent(self.clock.seconds())
        self.receive(Evidence.REFUSED)
        self.peer.running -= 1
        self.assertTrue(self.is_sound)
        self.peer.record_contact(self.clock.seconds())
        self.pass_time(0.05)
        self.receive()
        self.assertTrue(self.is_sound)

    def test_contacts_and_listings_end_a_report(self):
        """Guards against a report that outweighs what is known better."""
        peer = self.peer
        for learn in (
            lambda: peer.record_contact(self.clock.seconds()),
            lambda: self.directory.listed(entry(slots=7)),
        ):
            self.receive()
            self.assertFalse(self.is_sound)
            self.pass_time(0.2)
            learn()
            self.assertTrue(self.is_sound)
            self.receive(age_ms=200)
            self.assertTrue(self.is_sound)
            self.pass_time(20)

    def test_a_reported_refusal_is_taken_for_a_possible_start(self):
        """Guards against a cold endpoint that gets full load from those told.

        It refused connections, so it may have started again when it answers.
        """
        self.peer.cold.limit(3.0, 6.0)
        self.receive(Evidence.REFUSED)
        self.pass_time(1)
        self.peer.record_contact(self.clock.seconds())
        self.assertTrue(self.peer.cold.is_cold(self.clock.seconds()))

    def test_a_report_does_not_displace_an_endpoint(self):
        """Guards against a late heartbeat's entry that keeps an address.

        The successor is taken for displaced here, so that only an answer to
        this entry shows which of the two has the address.
        """
        self.directory.listed(entry(endpoint="i-2"))
        self.directory.listed(entry(born_ms=0, endpoint="i-3"))
        self.directory.peers["i-2"].gone = True
        self.receive(endpoint="i-3", born_ms=0)
        now = self.clock.seconds()
        self.assertTrue(self.directory.peers["i-3"].sound(now))

    def test_a_refused_connection_is_confirmed_first(self):
        """Guards against a failed attempt of one entry that closes for all."""
        probes = []
        self.peer.pool.probe = probes.append
        for _ in range(3):
            self.directory.on_unreachable(self.peer)
        (done,) = probes
        done(False)
        self.assertEqual([], self.messenger.sent)
        self.directory.on_unreachable(self.peer)
        probes[1](True)
        self.assertEqual(ENTRIES - 1, len(self.messenger.sent))
        self.directory.on_unreachable(self.peer)
        self.assertEqual(2, len(probes))
        self.assertEqual(["refusal"], self.counted)

    def test_a_start_time_learned_meanwhile_ends_no_telling(self):
        """Guards against a start that is taken for being probed for good."""
        probes = []
        self.directory.listed(entry(born_ms=0, endpoint="i-5"))
        peer = self.directory.peers["i-5"]
        peer.pool.probe = probes.append
        self.directory.on_unreachable(peer)
        self.directory.listed(entry(endpoint="i-5", slots=7))
        probes[0](False)
        self.assertEqual(set(), self.restarts._probing)

    def test_a_refusal_is_not_repeated_once_the_endpoint_answers(self):
        self.peer.pool.probe = lambda done: done(True)
        self.directory.on_unreachable(self.peer)
        self.clock.advance(0.1)
        self.peer.record_contact(self.clock.seconds())
        self.pass_time(REPEAT_S)
        self.assertEqual(ENTRIES - 1, len(self.messenger.sent))

    def test_the_datagram_keeps_its_form(self):
        """Guards against entries of two releases that misread each other."""
        report = StartReport("i-1", 1000, ADDRESS, Evidence.REPLACED, "i-2")
        data = msgspec.msgpack.encode(StartNotice(report, 300))
        row = ["i-1", 1000, list(ADDRESS), "replaced", "i-2"]
        self.assertEqual(["ended", row, 300], msgspec.msgpack.decode(data))
        short = msgspec.msgpack.encode(["ended", row[:4]])
        decoded = msgspec.msgpack.decode(short, type=Message)
        self.assertEqual("", decoded.report.successor)
