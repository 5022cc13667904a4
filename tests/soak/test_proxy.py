"""The proxy between two sides, on a network in memory."""

from random import Random

from testtools import TestCase
from twisted.internet.protocol import Factory, Protocol

from magnolialug.soak.faults import FAULTS
from magnolialug.soak.plan import kinds_of, plan
from magnolialug.soak.proxy import Path, Proxy
from tests.network import Network

FRONT, SERVER = ("127.0.0.2", 1), ("127.0.0.3", 2)


class Echo(Protocol):
    """Sends back what comes."""

    def dataReceived(self, data):
        """Takes bytes and sends them back."""
        self.factory.got.append(data)
        self.transport.write(data)


class Side(Protocol):
    """Keeps what comes."""

    def __init__(self):
        self.got = b""
        self.lost = False

    def dataReceived(self, data):
        """Takes bytes."""
        self.got += data

    def connectionLost(self, reason):
        """Notes the end."""
        self.lost = True


class ProxyTest(TestCase):
    """One client, one server, faults between them."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.server = Factory.forProtocol(Echo)
        self.server.got = []
        self.net.servers[SERVER] = self.server
        self.proxy = Proxy(self.net, SERVER)
        self.net.servers[FRONT] = self.proxy
        self.client = Side()
        self.pipe = self.net.connect(self.client, FRONT)
        self.net.advance_by(0.05)

    def sends(self, data, seconds=0.1):
        """Sends bytes and lets time pass."""
        self.pipe.write(data)
        self.net.advance_by(seconds)

    def test_bytes_pass_both_ways(self):
        self.sends(b"x")
        self.assertEqual(b"x", self.client.got)

    def test_what_is_held_comes_later(self):
        self.proxy.opens(Path.HELD)
        self.sends(b"x")
        self.assertEqual([], self.server.got)
        self.proxy.opens(Path.OPEN)
        self.net.advance_by(0.1)
        self.assertEqual(b"x", self.client.got)

    def test_one_way_only(self):
        self.proxy.opens(Path.MUTE)
        self.sends(b"x")
        self.assertEqual([b"x"], self.server.got)
        self.assertEqual(b"", self.client.got)

    def test_a_delay(self):
        self.proxy.delay_s = 0.5
        self.sends(b"x", 0.4)
        self.assertEqual([], self.server.got)
        self.net.advance_by(1.0)
        self.assertEqual(b"x", self.client.got)

    def test_a_reset(self):
        self.proxy.reset(Random(1))
        self.net.advance_by(0.1)
        self.assertTrue(self.client.lost)

    def test_a_silent_connection_stays_silent(self):
        self.proxy.silence(Random(1))
        self.sends(b"x")
        self.assertEqual([], self.server.got)
        self.assertFalse(self.client.lost)

    def test_refused(self):
        self.proxy.opens(Path.REFUSED)
        other = Side()
        self.net.connect(other, FRONT)
        self.net.advance_by(0.1)
        self.assertTrue(other.lost)
        self.sends(b"x")
        self.assertEqual(b"x", self.client.got)


class PlanTest(TestCase):
    """What goes wrong when, from a seed alone."""

    def test_a_seed_gives_the_same_plan(self):
        self.assertEqual(plan(Random(7), 60), plan(Random(7), 60))
        self.assertNotEqual(plan(Random(7), 60), plan(Random(8), 60))

    def test_all_kinds_come_and_some_in_series(self):
        rows = plan(Random(1), 600)
        self.assertEqual(set(FAULTS), {name for _, name in rows})
        times = [at for at, _ in rows]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertLess(min(gaps), 0.1)
        self.assertLess(max(times), 600)

    def test_recorded_seeds_keep_their_kinds(self):
        self.assertNotIn("restart_endpoint", kinds_of(104))
        waves = {"wave_of_long_prompts", "slow_engine", "slow_spells"}
        unreadable = {"unreadable_entries"}
        waves |= {"restart_several", *unreadable}
        notices = {"announce_leaving", "ask_for_rest", *waves}
        silences = {"silence_endpoints", "change_idle_limit", *notices}
        parts = {"harmful_part", "flood_machine", *silences}
        releases = {"release_software", *parts}
        framings = {"break_off_streams", *releases}
        catch_ups = {"store_loses_catch_ups", *framings}
        limits = {"limit_endpoint", *catch_ups}
        leaving = {"leave_unannounced", *limits}
        newest = {"evacuate_zone", *leaving}
        self.assertEqual(set(FAULTS) - newest, set(kinds_of(1000)))
        self.assertEqual(set(FAULTS) - newest, set(kinds_of(2999)))
        self.assertEqual(set(FAULTS) - leaving, set(kinds_of(3000)))
        self.assertEqual(set(FAULTS) - leaving, set(kinds_of(3999)))
        self.assertEqual(set(FAULTS) - limits, set(kinds_of(4000)))
        self.assertEqual(set(FAULTS) - limits, set(kinds_of(9999)))
        self.assertEqual(set(FAULTS) - catch_ups, set(kinds_of(10_000)))
        self.assertEqual(set(FAULTS) - catch_ups, set(kinds_of(10_999)))
        self.assertEqual(set(FAULTS) - framings, set(kinds_of(11_000)))
        self.assertEqual(set(FAULTS) - framings, set(kinds_of(11_999)))
        self.assertEqual(set(FAULTS) - releases, set(kinds_of(12_000)))
        self.assertEqual(set(FAULTS) - releases, set(kinds_of(12_999)))
        self.assertEqual(set(FAULTS) - parts, set(kinds_of(13_000)))
        self.assertEqual(set(FAULTS) - parts, set(kinds_of(13_999)))
        self.assertEqual(set(FAULTS) - silences, set(kinds_of(14_000)))
        self.assertEqual(set(FAULTS) - silences, set(kinds_of(14_999)))
        self.assertEqual(set(FAULTS) - notices, set(kinds_of(15_000)))
        self.assertEqual(set(FAULTS) - notices, set(kinds_of(15_999)))
        self.assertEqual(set(FAULTS) - waves, set(kinds_of(16_000)))
        self.assertEqual(set(FAULTS) - waves, set(kinds_of(17_999)))
        self.assertEqual(set(FAULTS) - unreadable, set(kinds_of(18_000)))
        self.assertEqual(set(FAULTS) - unreadable, set(kinds_of(18_999)))
        self.assertEqual(set(FAULTS), set(kinds_of(19_000)))

    def test_some_kinds_only(self):
        rows = plan(Random(1), 60, ("crowd",))
        self.assertEqual({"crowd"}, {name for _, name in rows})
