"""Endpoints and stores that start again under the id that they had."""

from loguru import logger
from testtools import TestCase

from magnolialug import events
from magnolialug.owners.messages import LoadQuery, LoadReport, QueriedEndpoint
from magnolialug.policy.logbounds import LogBounds
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.sharedload import Placement, WorkShare
from magnolialug.standin.endpoint import EndpointStandin
from tests.entry.test_unanswered_commands import NEVER_S
from tests.gatewaycluster import GatewayCluster, config

FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
OPERATIONS = {"name": "later", "maxConnections": 40}


def lines_of(case):
    """Returns a list that grows by the log lines of a test."""
    lines = []
    events._bounds = LogBounds()
    sink = logger.add(lines.append, format="{message}")
    case.addCleanup(logger.remove, sink)
    return lines


def born(cluster, endpoint, born_ms=FIRST):
    """Tells when an endpoint was started."""
    endpoint.born_ms = born_ms
    cluster.relist(endpoint, born=born_ms)
    cluster.pass_time(0.3)


class StartAgainTest(TestCase):
    """What was believed of an endpoint ends with its start."""

    def started(self, engines=1):
        """Returns a cluster and an engine that has read a prompt."""
        cluster = GatewayCluster(desks=0, engines=engines)
        cluster.pass_time(4)
        for engine in cluster.engines.values():
            born(cluster, engine)
        cluster.ask("/draft/x", parts="aa:9000,o:2000")
        return cluster, next(iter(cluster.engines.values()))

    def peer(self, cluster, engine):
        """Returns what the gateway knows of an engine."""
        return cluster.gateway.directory.peers[engine.instance]

    def state(self, cluster, engine, *parts):
        """Returns what the engine's owner tells of it."""
        asked = QueriedEndpoint(engine.instance, "/m/1")
        told = cluster.gateway.owners.ledger_service.answer(
            LoadQuery("x", 1, (asked,), parts)
        )
        return told.states[0]

    def test_its_cache_load_and_health_are_forgotten(self):
        """An engine starts again under its id, empty.

        Symptom: prompts go where their parts were and are read whole there,
        while others wait behind them. Cause: only an id told two starts
        apart.
        """
        cluster, engine = self.started()
        part = Part("aa", 9000)
        prompt = Prompt("m", (part, Part("o", 2000)), 11_000, 10)
        peer = self.peer(cluster, engine)
        self.assertEqual(1, peer.load.leading("/m/1", prompt))
        self.assertEqual(1, self.state(cluster, engine, part).found)
        peer.health.broke(cluster.net.seconds())
        cluster.start_again(engine, SECOND)
        cluster.pass_time(0.3)
        peer = self.peer(cluster, engine)
        self.assertEqual(0, peer.load.leading("/m/1", prompt))
        self.assertEqual(0, self.state(cluster, engine, part).found)
        self.assertEqual(0, peer.running)
        self.assertTrue(peer.sound(cluster.net.seconds()))
        self.assertEqual(200, cluster.ask("/draft/x").last.status)

    def test_its_report_tells_before_its_entry(self):
        cluster, engine = self.started()
        cluster.start_again(engine, SECOND, told=False)
        cluster.write("op/version/m", {"model": "m", "version": 2})
        cluster.pass_time(0.5)
        peer = self.peer(cluster, engine)
        self.assertEqual(SECOND, peer.listed.born_ms)
        cluster.pass_time(3)
        self.assertEqual(2, engine.version)

    def test_orders_are_counted_anew(self):
        """An engine that has taken weights twice starts again.

        Symptom: it keeps old weights, and each order is refused. Cause: the
        orders named as many as its earlier start had accepted.
        """
        cluster, engine = self.started()
        for version in (2, 3):
            cluster.write("op/version/m", {"model": "m", "version": version})
            cluster.pass_time(3)
        cluster.start_again(engine, SECOND)
        cluster.write("op/version/m", {"model": "m", "version": 4})
        cluster.pass_time(3)
        self.assertEqual(4, engine.version)

    def test_word_of_the_earlier_start_is_not_taken(self):
        """Another entry's report crosses the restart.

        Symptom: an empty engine is believed busy, and to hold parts. Cause:
        reports named an engine without its start.
        """
        cluster, engine = self.started()
        cluster.start_again(engine, SECOND)
        cluster.pass_time(0.3)
        part = Part("bb", 9000)
        before = self.state(cluster, engine, part)
        self.tell(cluster, engine, part, FIRST, 1)
        self.assertEqual(before, self.state(cluster, engine, part))
        self.tell(cluster, engine, part, SECOND, 2)
        after = self.state(cluster, engine, part)
        self.assertEqual((1, 50_000), (after.found, after.held))

    def tell(self, cluster, engine, part, born_ms, number):
        """Tells the engine's owner of another entry's work at a start of it."""
        name = engine.instance
        share = WorkShare(name, (0, 50_000), 50_000, 9, 10, 10, born_ms)
        placement = Placement(name, "/m/1", (part,), born_ms)
        work = LoadReport("front-2.x", number, (share,), (placement,))
        cluster.gateway.owners.ledger_service.record(work)

    def test_an_old_entry_does_not_bring_the_earlier_start_back(self):
        cluster, engine = self.started()
        cluster.start_again(engine, SECOND)
        cluster.pass_time(0.3)
        cluster.relist(engine, born=FIRST)
        cluster.pass_time(0.3)
        peer = self.peer(cluster, engine)
        self.assertEqual(SECOND, peer.listed.born_ms)

    def test_calls_at_the_earlier_start_end(self):
        """An engine goes dark and starts again; its connections stay silent.

        Symptom: callers wait for their deadline. Sequence: the engine loses
        power, nothing closes the connections, its entry names a new start.
        Cause: what was under way stayed with the start that had ended.
        """
        cluster, engine = self.started()
        engine.work_s = NEVER_S
        peer = self.peer(cluster, engine)
        caller = cluster.send("/draft/x")
        cluster.pass_time(2.2)
        self.assertEqual(1, peer.running)
        for conn in engine.open:
            conn.transport.silent = True
        cluster.start_again(engine, SECOND)
        cluster.pass_time(0.6)
        self.assertEqual(502, caller.last.status)

    def test_a_store_that_starts_again_is_empty(self):
        cluster = GatewayCluster(desks=0, engines=1)
        store = cluster.add_store()
        store.born_ms = FIRST
        cluster.pass_time(3)
        cluster.ask("/draft/x", parts="aa:9000,o:2000", seconds=2)
        (poll,) = cluster.gateway.prefix_cache.store_pollers.pollers.values()
        index = poll.index
        self.assertTrue(index.parts)
        store.parts.clear()
        store.born_ms = SECOND
        cluster.pass_time(1)
        self.assertEqual({}, index.parts)


class AddressTest(TestCase):
    """Two endpoints whose entries name one address."""

    def replaced(self):
        """Returns a cluster in which a new endpoint has another's address."""
        cluster = GatewayCluster(desks=1, engines=0)
        old = cluster.desks["i-desk1"]
        new = EndpointStandin(cluster.net, "i-new")
        cluster.net.servers[old.address] = new
        return cluster, old, new

    def served(self, cluster, new):
        """Returns how many of ten requests reached the new endpoint."""
        before = len(new.ran)
        for _ in range(10):
            self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)
        return len(new.ran) - before

    def test_a_late_heartbeat_takes_no_address_back(self):
        """The last heartbeat of a dead endpoint is carried out late.

        Symptom: a sound endpoint gets no work for the rest of its life.
        Sequence: an endpoint dies, its entry lapses, a new one starts at its
        address, the old one's entry is written once more. Cause: whichever
        entry came last was believed to have the address, and the other one
        was given up for good.
        """
        cluster, old, new = self.replaced()
        cluster.write("servers/i-new", old.row)
        cluster.pass_time(0.3)
        cluster.remove("servers/i-desk1")
        cluster.pass_time(0.3)
        cluster.relist(old, sequence=12)
        cluster.pass_time(0.3)
        self.assertGreater(self.served(cluster, new), 2)
        cluster.remove("servers/i-desk1")
        cluster.pass_time(0.3)
        self.assertGreater(self.served(cluster, new), 2)

    def test_who_answers_at_an_address_has_it(self):
        """A fresh process reads both entries, the dead one's written last."""
        cluster, old, new = self.replaced()
        cluster.remove("servers/i-desk1")
        cluster.write("servers/i-new", old.row)
        cluster.relist(old, sequence=12)
        fresh = cluster.start("front-2", 2)
        cluster.pass_time(0.5)
        for _ in range(10):
            cluster.send("/read/x", cluster.caller(("10.0.0.2", 80)))
            cluster.pass_time(0.1)
        self.assertGreater(len(new.ran), 2)
        self.assertFalse(fresh.directory.peers["i-new"].gone)

    def test_one_that_moves_is_found_at_its_new_address(self):
        cluster, old, _ = self.replaced()
        there = ("10.1.0.77", 8080)
        cluster.net.servers[there] = old
        cluster.relist(old, address="10.1.0.77:8080")
        cluster.pass_time(0.3)
        self.assertGreater(self.served(cluster, old), 2)


class ForeignEntryTest(TestCase):
    """Entries that no endpoint has written."""

    def test_they_hurt_nobody_and_are_logged_once_a_change(self):
        """Another writer puts rows under the endpoints' prefix.

        Symptom: a sound endpoint loses its address to a service that nobody
        knows, and each look at the registry fills the log.
        """
        lines = lines_of(self)
        cluster = GatewayCluster(desks=1, engines=0)
        row = cluster.desks["i-desk1"].row
        missing = {k: v for k, v in row.items() if k != "sequence"}
        foreign = [
            b"\xff\xfe",
            b"[]",
            missing,
            {**row, "slots": "6"},
            {**row, "state": "resting"},
            {**row, "service": "unheard-of"},
            {**row, "born": "yesterday"},
        ]
        for number, value in enumerate(foreign):
            cluster.write(f"servers/i-odd{number}", value)
        cluster.pass_time(0.5)
        for _ in range(3):
            cluster.kv.faults.down = True
            cluster.kv.end_watches()
            cluster.pass_time(1.5)
            cluster.kv.faults.down = False
            cluster.kv.forget()
            cluster.pass_time(2)
        self.assertEqual(200, cluster.ask("/read/x").last.status)
        self.assertEqual(["i-desk1"], list(cluster.gateway.directory.peers))
        refused = [line for line in lines if "ENTRY_REFUSED" in line]
        self.assertEqual(len(foreign), len(refused))

    def test_a_changed_one_is_logged_again(self):
        lines = lines_of(self)
        cluster = GatewayCluster(desks=1, engines=0)
        for value in (b"\xff", b"{}"):
            cluster.write("servers/i-odd", value)
            cluster.pass_time(0.5)
        refused = [line for line in lines if "ENTRY_REFUSED" in line]
        self.assertEqual(2, len(refused))

    def test_one_over_an_endpoints_own_entry_names_no_endpoint(self):
        cluster = GatewayCluster(desks=2, engines=0)
        cluster.write("servers/i-desk1", b"{}")
        cluster.pass_time(0.5)
        self.assertNotIn("i-desk1", cluster.gateway.directory.peers)
        cluster.relist(cluster.desks["i-desk1"])
        cluster.pass_time(0.5)
        self.assertIn("i-desk1", cluster.gateway.directory.peers)

    def test_a_service_that_is_named_later_has_its_endpoints_then(self):
        cluster = GatewayCluster(desks=1, engines=0)
        row = {**cluster.desks["i-desk1"].row, "address": "10.1.0.99:8080"}
        cluster.write("servers/i-later", {**row, "service": "later"})
        cluster.pass_time(0.5)
        self.assertNotIn("i-later", cluster.gateway.directory.peers)
        services = [*config()["services"], OPERATIONS]
        cluster.configure(config(2, services=services))
        cluster.pass_time(0.5)
        self.assertIn("i-later", cluster.gateway.directory.peers)
