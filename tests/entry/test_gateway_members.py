"""Endpoints that leave, lapse, die and return; planned stops."""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred

from magnolialug.standin.endpoint import EndpointStandin, Fault
from tests.gatewaycluster import GatewayCluster, config


class LeavingTest(TestCase):
    """Endpoints that leave in order."""

    def test_a_draining_endpoint_gets_no_new_work(self):
        cluster = GatewayCluster(desks=2, engines=0)
        leaving = cluster.desks["i-desk1"]
        cluster.relist(leaving, state="draining")
        cluster.pass_time(0.3)
        for _ in range(10):
            self.assertEqual(200, cluster.ask("/read/x", 0.05).last.status)
        self.assertEqual([], leaving.seen)

    def test_one_whose_entry_is_removed_gets_no_new_work(self):
        """Some endpoints never say that they drain."""
        cluster = GatewayCluster(desks=2, engines=0)
        leaving = cluster.desks["i-desk1"]
        cluster.remove("servers/i-desk1")
        cluster.pass_time(0.3)
        for _ in range(10):
            self.assertEqual(200, cluster.ask("/read/x", 0.05).last.status)
        self.assertEqual([], leaving.seen)

    def test_what_is_under_way_there_is_finished(self):
        cluster = GatewayCluster(desks=1, engines=0)
        (desk,) = cluster.desks.values()
        desk.work_s = 0.5
        caller = cluster.send("/book/x")
        cluster.pass_time(0.1)
        cluster.remove("servers/i-desk1")
        cluster.pass_time(1)
        self.assertEqual(200, caller.last.status)

    def test_leaving_is_learned_when_the_store_forgets_its_history(self):
        """The store drops its history while an endpoint leaves.

        Symptom: a leaving endpoint goes on getting work. Sequence: watches
        hear nothing, the endpoint drains, the history is dropped and the
        watches are cut. Cause: the watch went on from a point after it.
        """
        cluster = GatewayCluster(desks=2, engines=0)
        leaving = cluster.desks["i-desk1"]
        cluster.kv.faults.deaf_watches = True
        cluster.relist(leaving, state="draining")
        cluster.pass_time(1)
        cluster.kv.faults.deaf_watches = False
        cluster.kv.forget()
        cluster.pass_time(1.5)
        cluster.ask("/read/x", 0.2)
        self.assertEqual([], leaving.seen)


class LapseTest(TestCase):
    """Entries that run out while the store is away."""

    def lapsed(self, seconds):
        """Returns a cluster whose entries lapsed in an outage."""
        cluster = GatewayCluster(desks=2, engines=0)
        cluster.pass_time(1)
        cluster.kv.faults.down = True
        cluster.kv.end_watches()
        cluster.pass_time(seconds)
        cluster.remove("servers/i-desk1")
        cluster.remove("servers/i-desk2")
        return cluster

    def test_endpoints_are_kept_until_they_can_be_back(self):
        """All entries lapse in an outage of the store.

        Symptom: every request is refused as soon as the store returns.
        Sequence: the store is down, entries run out, it returns, endpoints
        write theirs again within two seconds. Cause: a lapsed entry was
        taken for an endpoint that is gone.
        """
        cluster = self.lapsed(5)
        self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)
        cluster.kv.faults.down = False
        cluster.pass_time(1.2)
        self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)
        for desk in cluster.desks.values():
            cluster.relist(desk)
        cluster.pass_time(4)
        self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)

    def test_a_removal_is_believed_after_a_brief_silence(self):
        """Guards against work for an endpoint that left around a silence."""
        cluster = GatewayCluster(desks=2, engines=0)
        cluster.pass_time(1)
        cluster.kv.faults.down = True
        cluster.kv.end_watches()
        cluster.pass_time(1)
        cluster.remove("servers/i-desk1")
        cluster.kv.faults.down = False
        cluster.pass_time(1)
        for _ in range(10):
            self.assertEqual(200, cluster.ask("/read/x", 0.05).last.status)
        self.assertEqual([], cluster.desks["i-desk1"].seen)

    def test_one_whose_entry_is_back_stays(self):
        """Guards against a doubt that outlasts the entry's return."""
        cluster = self.lapsed(5)
        cluster.kv.faults.down = False
        cluster.pass_time(1.2)
        for desk in cluster.desks.values():
            cluster.relist(desk)
        cluster.kv.forget()
        cluster.pass_time(4)
        self.assertEqual(2, len(cluster.gateway.directory.peers))

    def test_who_is_not_back_by_then_is_gone(self):
        cluster = self.lapsed(5)
        cluster.kv.faults.down = False
        cluster.pass_time(1.2)
        cluster.relist(cluster.desks["i-desk2"])
        cluster.pass_time(4)
        before = len(cluster.desks["i-desk1"].seen)
        for _ in range(5):
            self.assertEqual(200, cluster.ask("/read/x", 0.1).last.status)
        self.assertEqual(before, len(cluster.desks["i-desk1"].seen))


class FailingTest(TestCase):
    """Endpoints that die without a word."""

    def test_a_dead_endpoint_is_left_alone_and_tried_again(self):
        cluster = GatewayCluster(desks=2, engines=0)
        dead = cluster.desks["i-desk1"]
        del cluster.net.servers[dead.address]
        for _ in range(40):
            cluster.ask("/read/x", 0.1)
        dials = cluster.net.dialled.count(dead.address)
        self.assertTrue(2 <= dials <= 8, dials)
        cluster.net.servers[dead.address] = dead
        cluster.pass_time(4)
        for _ in range(5):
            cluster.ask("/read/x", 0.1)
        self.assertTrue(dead.seen)

    def test_a_restarted_endpoint_takes_its_address_over(self):
        """An endpoint restarts; its old entry lapses three heartbeats later.

        Symptom: requests are turned away with 421 for seconds. Sequence: the
        new start registers under a new id at the same address, both entries
        stand, requests go to the old one. Cause: the old one was believed
        until its entry lapsed.
        """
        cluster = GatewayCluster(desks=1, engines=0)
        old = cluster.desks["i-desk1"]
        new = EndpointStandin(cluster.net, "i-new")
        cluster.net.servers[old.address] = new
        cluster.write("servers/i-new", old.row)
        cluster.pass_time(0.3)
        for _ in range(5):
            self.assertEqual(200, cluster.ask("/book/x", 0.1).last.status)
        self.assertEqual(5, len(new.seen))

    def test_when_all_look_dead_they_are_still_tried(self):
        """This process is cut off from all endpoints for a moment.

        Symptom: refusals go on after the network is back. Sequence: every
        connection fails, all endpoints are suspected. Cause: suspicion was
        taken for certainty.
        """
        cluster = GatewayCluster(desks=2, engines=0)
        servers = dict(cluster.net.servers)
        for desk in cluster.desks.values():
            del cluster.net.servers[desk.address]
        for _ in range(5):
            cluster.ask("/read/x", 0.1)
        cluster.net.servers.update(servers)
        self.assertEqual(200, cluster.ask("/read/x", 0.2).last.status)

    def test_a_grey_endpoint_gets_less_work(self):
        """An endpoint fails half of what it is asked.

        Symptom: half of the calls to one endpoint fail though others are
        idle. Sequence: it passes health checks and answers 500. Cause: only
        connections were looked at.
        """
        cluster = GatewayCluster(desks=2, engines=0)
        grey = cluster.desks["i-desk1"]
        grey.faults = [Fault.ERROR] * 200
        for _ in range(60):
            cluster.ask("/book/x", 0.05)
        self.assertLess(len(grey.seen), 20)

    def test_the_store_away_stops_nothing(self):
        cluster = GatewayCluster()
        cluster.kv.faults.down = True
        cluster.kv.end_watches()
        cluster.pass_time(20)
        self.assertTrue(cluster.gateway.ready())
        for path in ("/read/x", "/book/x", "/draft/x"):
            self.assertEqual(200, cluster.ask(path).last.status, path)


class StopTest(TestCase):
    """A planned stop of the gateway."""

    def stop(self, cluster):
        """Begins a stop; returns the list that gets its result."""
        left = []
        ensureDeferred(cluster.gateway.stop()).addCallback(left.append)
        return left

    def test_it_is_not_ready_at_once_and_serves_until_it_is_noticed(self):
        cluster = GatewayCluster()
        left = self.stop(cluster)
        cluster.pass_time(0.1)
        self.assertFalse(cluster.gateway.ready())
        caller = cluster.ask("/read/x")
        self.assertEqual(200, caller.last.status)
        self.assertEqual("close", caller.last.headers["connection"])
        self.assertTrue(caller.closed)
        self.assertEqual([], left)
        cluster.pass_time(3)
        self.assertEqual([0], left)

    def test_a_stream_under_way_is_finished(self):
        cluster = GatewayCluster()
        for engine in cluster.engines.values():
            engine.events, engine.gap_s = 20, 0.25
        caller = cluster.send("/draft/x", deadline_ms=15000)
        cluster.pass_time(0.5)
        left = self.stop(cluster)
        cluster.pass_time(7.9)
        self.assertTrue(caller.last.whole)
        self.assertEqual([0], left)

    def test_late_work_is_refused_as_not_run(self):
        """A kept connection brings a long request late in a stop.

        Symptom: a stream is cut at the kill. Sequence: a stop begins, four
        seconds later a caller sends a prompt on a connection it had kept.
        Cause: it was taken though the grace could not cover it.
        """
        cluster = GatewayCluster()
        for engine in cluster.engines.values():
            engine.gap_s = 1.0
        first = cluster.send("/draft/x")
        other = cluster.caller()
        cluster.pass_time(0.1)
        self.stop(cluster)
        cluster.pass_time(2.7)
        cluster.send("/draft/x", other)
        cluster.pass_time(0.3)
        refused = other.last.status == 503 or other.closed
        self.assertTrue(refused)
        self.assertEqual(0, cluster.ran(other.request_id))
        self.assertEqual(200, first.last.status)

    def test_idle_connections_are_closed_between_requests(self):
        cluster = GatewayCluster()
        caller = cluster.ask("/read/x")
        self.assertFalse(caller.closed)
        self.stop(cluster)
        cluster.pass_time(2)
        self.assertFalse(caller.closed)
        cluster.pass_time(1.5)
        self.assertTrue(caller.closed)

    def test_a_half_read_request_is_read_and_answered(self):
        cluster = GatewayCluster()
        caller = cluster.caller()
        head = (
            "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 9\r\n"
            "Authorization: Token key-a\r\nContent-Length: 4\r\n\r\nab"
        )
        caller.pipe.write(head.encode())
        cluster.pass_time(0.1)
        self.stop(cluster)
        cluster.pass_time(2.5)
        caller.pipe.write(b"cd")
        cluster.pass_time(1)
        self.assertEqual(200, caller.last.status)


class ConfigurationTest(TestCase):
    """Configurations that come while requests do."""

    def test_a_new_key_and_a_taken_one(self):
        cluster = GatewayCluster()
        teams = [{"name": "team-a", "apiKeys": ["key-new"]}]
        cluster.configure(config(2, tenants=teams))
        cluster.pass_time(0.2)
        for key, status in (("key-new", 200), ("key-a", 401)):
            caller = cluster.ask("/read/x", key=key)
            self.assertEqual(status, caller.last.status, key)

    def test_an_older_configuration_changes_nothing(self):
        cluster = GatewayCluster()
        cluster.configure(config(5, routes=config()["routes"][:1]))
        cluster.pass_time(0.2)
        cluster.configure(config(4))
        cluster.pass_time(0.2)
        self.assertEqual(5, cluster.gateway.routes.version)
        self.assertEqual(404, cluster.ask("/book/x").last.status)

    def test_a_change_during_an_outage_is_in_force_after_it(self):
        cluster = GatewayCluster()
        cluster.kv.faults.refusing = True
        cluster.pass_time(12)
        cluster.kv.faults.refusing = False
        cluster.configure(config(2, routes=config()["routes"][:1]))
        cluster.pass_time(1.8)
        self.assertEqual(2, cluster.gateway.routes.version)

    def test_what_is_under_way_keeps_the_route_it_came_by(self):
        cluster = GatewayCluster(desks=1)
        (desk,) = cluster.desks.values()
        desk.work_s = 1.0
        caller = cluster.send("/book/x")
        cluster.pass_time(0.1)
        cluster.configure(config(2, routes=config()["routes"][:1]))
        cluster.pass_time(2)
        self.assertEqual(200, caller.last.status)
