"""Which requests the gateway forwards, and which it refuses."""

from testtools import TestCase

from magnolialug.standin.operatorconfig import route
from tests.gatewaycluster import GatewayCluster, config


class RefusalTest(TestCase):
    """Statuses of refused requests, in the order of the checks."""

    CASES = (
        # what, path, options, status
        ("served", "/read/x", {}, 200),
        ("no such host", "/read/x", {"host": "other.example"}, 404),
        ("no such prefix", "/none/x", {}, 404),
        ("prefix without its slash", "/read", {}, 404),
        ("unknown path before unknown key", "/none/x", {"key": "bad"}, 404),
        ("no key", "/read/x", {"key": ""}, 401),
        ("unknown key", "/read/x", {"key": "bad"}, 401),
        ("public without key", "/open/x", {"key": ""}, 200),
        ("public with an unknown key", "/open/x", {"key": "bad"}, 200),
        ("no id", "/read/x", {"request_id": ""}, 400),
        (
            "two ids",
            "/read/x",
            {"headers": ("X-Request-Id: other",)},
            400,
        ),
        (
            "a deadline that is no number",
            "/read/x",
            {"deadline_ms": "soon"},
            400,
        ),
        ("two hosts", "/read/x", {"headers": ("Host: h.example",)}, 400),
        ("tokens that are no numbers", "/draft/x", {"tokens": "a,b"}, 400),
        ("parts without tokens", "/draft/x", {"parts": "aa,bb"}, 400),
        (
            "a header section over the limit",
            "/read/x",
            {"headers": ("X-Long: " + "x" * 5000,)},
            413,
        ),
        ("a body over the limit", "/book/x", {"body": b"x" * 10001}, 413),
        (
            "a length beside chunks",
            "/book/x",
            {"body": b"x", "headers": ("Transfer-Encoding: chunked",)},
            400,
        ),
    )

    def test_statuses(self):
        for what, path, options, status in self.CASES:
            cluster = GatewayCluster()
            caller = cluster.ask(path, **options)
            self.assertEqual(status, caller.last.status, what)
            if status != 200:
                self.assertEqual([], cluster.seen(), what)

    def test_without_configuration_it_is_not_ready_and_answers_503(self):
        """Guards against 404 for routes that exist.

        A process starts while the key-value service is down, and treats the
        missing configuration as an empty one.
        """
        cluster = GatewayCluster()
        cluster.kv.faults.down = True
        fresh = cluster.start("front-2", 2)
        cluster.pass_time(1)
        self.assertFalse(fresh.ready())
        caller = cluster.send("/read/x", cluster.caller(("10.0.0.2", 80)))
        cluster.pass_time(1)
        self.assertEqual(503, caller.last.status)
        self.assertIn("retry-after", caller.last.headers)
        cluster.kv.faults.down = False
        cluster.pass_time(2)
        self.assertTrue(fresh.ready())


class PassingTest(TestCase):
    """What the endpoint receives."""

    def test_method_target_body_and_id_are_forwarded_unchanged(self):
        cluster = GatewayCluster()
        caller = cluster.ask("/book/a%20b?q=1&q=2", body=b"\x00\xff body")
        (seen,) = cluster.seen()
        self.assertEqual("POST", seen.method)
        self.assertEqual("/book/a%20b?q=1&q=2", seen.target)
        self.assertEqual(b"\x00\xff body", seen.body)
        self.assertEqual(caller.request_id, seen.request_id)
        self.assertEqual("h.example", seen.headers["host"])

    def test_internal_headers_from_callers_are_not_forwarded(self):
        """Guards against a team that reads another team's cache.

        A caller sends the internal headers with another team's name and
        cache namespace, and the gateway forwards them.
        """
        names = (
            "X-Tenant-Id",
            "X-Cache-Salt",
            "X-Expect-Instance",
            "X-Expect-Version",
            "X-Request-Priority",
            "X-Kv-Fetch-From",
            "X-Kv-Save-To",
            "X-Kv-Until",
            "X-Kv-Hold",
            "X-Kv-Backup",
            "X-Pin-Ms",
            "Kv-From",
        )
        cluster = GatewayCluster()
        forged = tuple(f"{name}: forged" for name in names)
        cluster.ask("/draft/x", headers=(*forged, "X-Own: kept"), key="key-b")
        (seen,) = cluster.seen()
        self.assertNotIn("forged", seen.headers.values())
        self.assertEqual("kept", seen.headers["x-own"])
        self.assertEqual("team-b", seen.headers["x-tenant-id"])
        self.assertNotIn("authorization", seen.headers)
        self.assertEqual(
            len(seen.names), len({name.lower() for name in seen.names})
        )

    def test_hop_by_hop_headers_are_not_forwarded(self):
        cluster = GatewayCluster()
        cluster.ask(
            "/read/x",
            headers=("Connection: keep-alive, X-Mine", "X-Mine: 1", "TE: x"),
        )
        (seen,) = cluster.seen()
        for name in ("connection", "x-mine", "te"):
            self.assertNotIn(name, seen.headers)

    def test_the_deadline_is_the_smaller_of_caller_and_route(self):
        cluster = GatewayCluster()
        cluster.ask("/read/x", deadline_ms=1000)
        cluster.ask("/read/x", deadline_ms=60000)
        cluster.ask("/read/x", deadline_ms=0)
        left = [
            int(seen.headers["x-request-deadline-ms"])
            for seen in cluster.seen()
        ]
        left.sort()
        self.assertTrue(950 <= left[0] <= 1000, left)
        self.assertTrue(2950 <= left[1] <= left[2] <= 3000, left)

    def test_chunked_bodies_are_read_whole(self):
        cluster = GatewayCluster()
        caller = cluster.caller()
        head = (
            "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 7\r\n"
            "Authorization: Token key-a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        caller.pipe.write(head.encode() + b"3\r\nabc\r\n")
        cluster.pass_time(0.1)
        self.assertEqual([], cluster.seen())
        caller.pipe.write(b"2\r\nde\r\n0\r\n\r\n")
        cluster.pass_time(0.5)
        self.assertEqual(b"abcde", cluster.seen()[0].body)
        self.assertEqual(200, caller.last.status)

    def test_the_longest_prefix_wins(self):
        routes = [
            route("all", "/", "desk"),
            route("some", "/a/", "llm"),
            route("one", "/a/b/", "desk"),
        ]
        cluster = GatewayCluster(operator=config(routes=routes))
        for path, service in (
            ("/x", "desk"),
            ("/a/x", "llm"),
            ("/a/b", "llm"),
            ("/a/b/c", "desk"),
        ):
            caller = cluster.ask(path)
            group = cluster.desks if service == "desk" else cluster.engines
            ran = sum(e.ran[caller.request_id] for e in group.values())
            self.assertEqual(1, ran, path)

    def test_a_traffic_split_follows_its_weights(self):
        split = [
            {"service": "desk", "weight": 75},
            {"service": "llm", "weight": 25},
        ]
        routes = [route("split", "/s/", "", trafficSplit=split)]
        cluster = GatewayCluster(operator=config(routes=routes))
        for _ in range(80):
            cluster.ask("/s/x", seconds=0.1)
        engines = sum(len(e.seen) for e in cluster.engines.values())
        self.assertEqual(80, len(cluster.seen()))
        self.assertTrue(8 <= engines <= 34, engines)

    def test_pipelined_requests_are_answered_on_one_connection(self):
        cluster = GatewayCluster()
        caller = cluster.caller()
        for _ in range(3):
            cluster.send("/read/x", caller)
        cluster.pass_time(1)
        self.assertEqual([200] * 3, [a.status for a in caller.answers])
        self.assertFalse(caller.closed)

    def test_a_smuggled_request_is_not_run(self):
        """Guards against request smuggling.

        The body contains a complete request. If gateway and endpoint disagree
        on where the body ends, the endpoint runs a request nobody sent.
        """
        cluster = GatewayCluster()
        inner = b"GET /read/inner HTTP/1.1\r\nX-Request-Id: evil\r\n\r\n"
        cluster.ask("/book/x", body=inner)
        self.assertEqual(["/book/x"], [req.target for req in cluster.seen()])


class TimeTest(TestCase):
    """Callers that are slow, idle, or disconnected."""

    def test_an_idle_connection_is_kept_until_the_idle_limit(self):
        cluster = GatewayCluster()
        caller = cluster.ask("/read/x")
        cluster.pass_time(13)
        self.assertFalse(caller.closed)
        cluster.pass_time(3)
        self.assertTrue(caller.closed)

    def test_a_raised_idle_limit_applies_to_open_connections(self):
        """Guards against connections that close while they are reused.

        A connection opens, the operator raises the idle limit, and the caller
        reuses the connection within the new limit. The limit must not be
        fixed when the connection opens.
        """
        cluster = GatewayCluster()
        caller = cluster.ask("/read/x")
        limits = dict(config()["limits"], idleTimeoutMs=40000)
        cluster.configure(config(2, limits=limits))
        cluster.pass_time(30)
        self.assertFalse(caller.closed)

    def test_slow_headers_get_a_timeout(self):
        cluster = GatewayCluster()
        caller = cluster.caller()
        caller.pipe.write(b"GET /read/x HTTP/1.1\r\nHost: h")
        cluster.pass_time(5)
        self.assertEqual(408, caller.last.status)

    def test_a_disconnected_caller_cancels_idempotent_requests_only(self):
        cluster = GatewayCluster()
        for path, stops in (("/check/x", True), ("/book/x", False)):
            for endpoint in cluster.endpoints():
                endpoint.work_s = 1.0
            caller = cluster.send(path, body=b"x")
            cluster.pass_time(0.1)
            caller.pipe.abortConnection()
            cluster.pass_time(0.1)
            cut = [name for e in cluster.endpoints() for name in e.cut]
            self.assertEqual(stops, caller.request_id in cut, path)

    def test_a_timeout_is_answered_at_the_deadline(self):
        cluster = GatewayCluster()
        for desk in cluster.desks.values():
            desk.work_s = 100.0
        caller = cluster.ask("/read/x", seconds=0.5, deadline_ms=300)
        self.assertEqual(504, caller.last.status)
        self.assertNotIn("retry-after", caller.last.headers)
        self.assertTrue(caller.last.at < 0.3 + 0.3 + 0.1, caller.last.at)

    def test_a_caller_that_does_not_read_pauses_the_endpoint(self):
        cluster = GatewayCluster(engines=1)
        (engine,) = cluster.engines.values()
        engine.events = 50
        caller = cluster.send("/draft/x")
        cluster.pass_time(0.2)
        gate = caller.pipe.peer
        gate.producer.pauseProducing()
        pipes = [
            p
            for p in cluster.net.pipes
            if p.protocol.__class__.__name__ == "Connection"
        ]
        self.assertTrue(any(pipe.paused for pipe in pipes))
        gate.producer.resumeProducing()
        cluster.pass_time(2)
        self.assertTrue(caller.last.whole)
        self.assertEqual(50, caller.last.body.count(b"data:"))
