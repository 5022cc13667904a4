"""Endpoints and stores that restart under the same id."""

from testtools import TestCase

from magnolialug.owners.messages import LoadQuery, LoadReport, QueriedEndpoint
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.sharedload import Placement, WorkShare
from magnolialug.standin.endpoint import EndpointStandin
from tests.entry.test_unanswered_commands import NEVER_S
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines

FIRST_START_MS, SECOND_START_MS = 1_700_000_000_000, 1_700_000_009_000
LATER_SERVICE = {"name": "later", "maxConnections": 40}


def set_start_time(cluster, endpoint, born_ms=FIRST_START_MS):
    """Sets the start time in an endpoint's reports and entry."""
    endpoint.born_ms = born_ms
    cluster.relist(endpoint, born=born_ms)
    cluster.pass_time(0.3)


class StartAgainTest(TestCase):
    """State known of an endpoint is dropped when it restarts."""

    def started(self, engines=1):
        """Returns a cluster and an engine that has processed a prompt."""
        cluster = GatewayCluster(desks=0, engines=engines)
        cluster.pass_time(4)
        for engine in cluster.engines.values():
            set_start_time(cluster, engine)
        cluster.ask("/draft/x", parts="aa:9000,o:2000")
        return cluster, next(iter(cluster.engines.values()))

    def peer(self, cluster, engine):
        """Returns the gateway's state of an engine."""
        return cluster.gateway.directory.peers[engine.instance]

    def state(self, cluster, engine, *parts):
        """Returns the load state that the engine's owner reports."""
        query = QueriedEndpoint(engine.instance, "/m/1")
        reply = cluster.gateway.owners.ledger_service.answer(
            LoadQuery("x", 1, (query,), parts)
        )
        return reply.states[0]

    def test_cache_load_and_health_of_the_earlier_start_are_dropped(self):
        """Guards against prompts sent to an engine for parts it has lost.

        An engine restarts under its id with an empty cache. If starts are
        distinguished by id only, the engine recomputes whole prompts while
        others wait behind them.
        """
        cluster, engine = self.started()
        part = Part("aa", 9000)
        prompt = Prompt("m", (part, Part("o", 2000)), 11_000, 10)
        peer = self.peer(cluster, engine)
        self.assertEqual(1, peer.load.leading("/m/1", prompt))
        self.assertEqual(1, self.state(cluster, engine, part).cached_parts)
        peer.health.record_failure(cluster.net.seconds())
        cluster.start_again(engine, SECOND_START_MS)
        cluster.pass_time(0.3)
        peer = self.peer(cluster, engine)
        self.assertEqual(0, peer.load.leading("/m/1", prompt))
        self.assertEqual(0, self.state(cluster, engine, part).cached_parts)
        self.assertEqual(0, peer.running)
        self.assertTrue(peer.sound(cluster.net.seconds()))
        self.assertEqual(200, cluster.ask("/draft/x").last.status)

    def test_a_report_shows_a_restart_before_the_entry(self):
        cluster, engine = self.started()
        cluster.start_again(engine, SECOND_START_MS, told=False)
        cluster.write("op/version/m", {"model": "m", "version": 2})
        cluster.pass_time(0.5)
        peer = self.peer(cluster, engine)
        self.assertEqual(SECOND_START_MS, peer.listed.born_ms)
        cluster.pass_time(3)
        self.assertEqual(2, engine.version)

    def test_rollout_commands_are_numbered_anew(self):
        """Guards against an engine that refuses every rollout command.

        An engine that has accepted two commands restarts. If commands go on
        counting from those of the earlier start, the engine refuses them and
        keeps old weights.
        """
        cluster, engine = self.started()
        for version in (2, 3):
            cluster.write("op/version/m", {"model": "m", "version": version})
            cluster.pass_time(3)
        cluster.start_again(engine, SECOND_START_MS)
        cluster.write("op/version/m", {"model": "m", "version": 4})
        cluster.pass_time(3)
        self.assertEqual(4, engine.version)

    def test_load_reports_of_the_earlier_start_are_ignored(self):
        """Guards against treating an empty engine as busy and full of parts.

        Another entry's load report is under way when the engine restarts.
        Reports must name the start of the engine, not its id alone.
        """
        cluster, engine = self.started()
        cluster.start_again(engine, SECOND_START_MS)
        cluster.pass_time(0.3)
        part = Part("bb", 9000)
        before = self.state(cluster, engine, part)
        self.report_work(cluster, engine, part, FIRST_START_MS, 1)
        self.assertEqual(before, self.state(cluster, engine, part))
        self.report_work(cluster, engine, part, SECOND_START_MS, 2)
        after = self.state(cluster, engine, part)
        self.assertEqual((1, 50_000), (after.cached_parts, after.held))

    def report_work(self, cluster, engine, part, born_ms, number):
        """Reports work of another entry at one start of an engine."""
        name = engine.instance
        share = WorkShare(name, (0, 50_000), 50_000, 9, 10, 10, born_ms)
        placement = Placement(name, "/m/1", (part,), born_ms)
        work = LoadReport("front-2.x", number, (share,), (placement,))
        cluster.gateway.owners.ledger_service.record(work)

    def test_an_old_entry_does_not_restore_the_earlier_start(self):
        cluster, engine = self.started()
        cluster.start_again(engine, SECOND_START_MS)
        cluster.pass_time(0.3)
        cluster.relist(engine, born=FIRST_START_MS)
        cluster.pass_time(0.3)
        peer = self.peer(cluster, engine)
        self.assertEqual(SECOND_START_MS, peer.listed.born_ms)

    def test_requests_at_the_earlier_start_are_ended(self):
        """Guards against callers that wait until their deadline.

        An engine loses power, nothing closes its connections, and its entry
        names a new start. Requests sent to the earlier start must end.
        """
        cluster, engine = self.started()
        engine.work_s = NEVER_S
        peer = self.peer(cluster, engine)
        caller = cluster.send("/draft/x")
        cluster.pass_time(2.2)
        self.assertEqual(1, peer.running)
        for conn in engine.open:
            conn.transport.silent = True
        cluster.start_again(engine, SECOND_START_MS)
        cluster.pass_time(0.6)
        self.assertEqual(502, caller.last.status)

    def test_the_index_of_a_restarted_store_is_empty(self):
        cluster = GatewayCluster(desks=0, engines=1)
        store = cluster.add_store()
        store.born_ms = FIRST_START_MS
        cluster.pass_time(3)
        cluster.ask("/draft/x", parts="aa:9000,o:2000", seconds=2)
        (poll,) = cluster.gateway.prefix_cache.store_pollers.pollers.values()
        index = poll.index
        self.assertTrue(index.parts)
        store.parts.clear()
        store.born_ms = SECOND_START_MS
        cluster.pass_time(1)
        self.assertEqual({}, index.parts)


class AddressTest(TestCase):
    """Two endpoints whose entries have the same address."""

    def replaced(self):
        """Returns a cluster where a new endpoint has an old one's address."""
        cluster = GatewayCluster(desks=1, engines=0)
        old = cluster.desks["i-desk1"]
        new = EndpointStandin(cluster.net, "i-new")
        cluster.net.servers[old.address] = new
        return cluster, old, new

    def served(self, cluster, new):
        """Returns how many of ten requests reached the given endpoint."""
        before = len(new.ran)
        for _ in range(10):
            self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)
        return len(new.ran) - before

    def test_a_late_heartbeat_does_not_take_an_address_back(self):
        """Guards against a healthy endpoint that never gets work again.

        An endpoint dies, its entry expires, and a new one starts at its
        address. Then the last heartbeat of the old one is applied late and
        writes its entry again. The last written entry must not own the address
        for good.
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

    def test_the_endpoint_that_answers_at_an_address_owns_it(self):
        """A new gateway reads both entries; the dead one's is written last."""
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

    def test_an_endpoint_that_moves_is_found_at_its_new_address(self):
        cluster, old, _ = self.replaced()
        there = ("10.1.0.77", 8080)
        cluster.net.servers[there] = old
        cluster.relist(old, address="10.1.0.77:8080")
        cluster.pass_time(0.3)
        self.assertGreater(self.served(cluster, old), 2)


class ForeignEntryTest(TestCase):
    """Registry entries that no endpoint wrote."""

    def test_foreign_entries_are_ignored_and_logged_once_a_change(self):
        """Guards against foreign entries that take over an endpoint's address.

        Another writer puts entries under the endpoints' prefix. They must not
        fill the log at each read of the registry either.
        """
        lines = collect_lines(self)
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

    def test_a_changed_foreign_entry_is_logged_again(self):
        lines = collect_lines(self)
        cluster = GatewayCluster(desks=1, engines=0)
        for value in (b"\xff", b"{}"):
            cluster.write("servers/i-odd", value)
            cluster.pass_time(0.5)
        refused = [line for line in lines if "ENTRY_REFUSED" in line]
        self.assertEqual(2, len(refused))

    def test_a_foreign_value_in_an_endpoints_entry_removes_it(self):
        cluster = GatewayCluster(desks=2, engines=0)
        cluster.write("servers/i-desk1", b"{}")
        cluster.pass_time(0.5)
        self.assertNotIn("i-desk1", cluster.gateway.directory.peers)
        cluster.relist(cluster.desks["i-desk1"])
        cluster.pass_time(0.5)
        self.assertIn("i-desk1", cluster.gateway.directory.peers)

    def test_endpoints_of_a_service_configured_later_are_used_then(self):
        cluster = GatewayCluster(desks=1, engines=0)
        row = {**cluster.desks["i-desk1"].row, "address": "10.1.0.99:8080"}
        cluster.write("servers/i-later", {**row, "service": "later"})
        cluster.pass_time(0.5)
        self.assertNotIn("i-later", cluster.gateway.directory.peers)
        services = [*config()["services"], LATER_SERVICE]
        cluster.configure(config(2, services=services))
        cluster.pass_time(0.5)
        self.assertIn("i-later", cluster.gateway.directory.peers)
