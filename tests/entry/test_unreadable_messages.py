"""Bytes of callers, gateways, engines and stores that cannot be read."""

from functools import partial

import msgspec
from testtools import TestCase

from magnolialug.policy.cachenamespace import model_and_version
from magnolialug.quarantine.messages import Released
from magnolialug.standin.caller import request
from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines

_DEEP = b'{"a":' * 3000
_DIGITS = "9" * 5000
_PEER = ("10.0.0.9", 7000)
_HEAD = (
    b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: 1\r\n"
    b"Authorization: Token key-a\r\n"
)
_CHUNKS = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
# What comes before a part that does not end, and what is repeated.
_ENDLESS_REQUESTS = {
    "a request line": (b"GET /", b"x" * 4096),
    "a header's value": (_HEAD + b"X-Long: ", b"x" * 4096),
    "header lines": (_HEAD, b"a:\r\n" * 1024),
    "digits of a chunk's size": (_CHUNKS, b"0" * 4096),
    "a chunk's extension": (_CHUNKS + b"5;", b"x" * 4096),
    "trailer lines": (_CHUNKS + b"0\r\n", b"a:\r\n" * 1024),
    "a trailer's value": (_CHUNKS + b"0\r\nX: ", b"x" * 4096),
    "a body": (_CHUNKS, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
}


class CallerTest(TestCase):
    """Requests with numbers that no arithmetic holds."""

    def test_long_numbers_are_refused(self):
        """Guards against a connection that closes without an answer."""
        for options in (
            {"tokens": f"{'9' * 3000},1"},
            {"tokens": f"1,{'9' * 40}"},
            {"parts": f"aa:{'9' * 40}"},
            {"headers": (f"Last-Event-ID: {'9' * 3000}",)},
            {"headers": (f"X-Length-Hint: {'9' * 3000}",)},
        ):
            cluster = GatewayCluster()
            caller = cluster.ask("/draft/x", **options)
            hint = "Hint" in str(options)
            expected = 200 if hint else 400
            self.assertEqual(expected, caller.last.status, str(options)[:60])

    def test_a_request_that_raises_is_refused(self):
        """Guards against a caller who gets no answer to a fault of ours."""
        cluster = GatewayCluster()
        admit = cluster.gateway._admit

        def fail(req):
            raise LookupError("a fault of ours")

        cluster.gateway._admit = fail
        caller = cluster.ask("/read/x")
        self.assertEqual(400, caller.last.status)
        cluster.gateway._admit = admit
        self.assertEqual(200, cluster.ask("/read/x").last.status)
        self.assertEqual([], cluster.seen()[1:])

    def test_bytes_that_raise_in_the_parser_are_refused(self):
        """Guards against a connection that closes without an answer."""
        lines = collect_lines(self)
        cluster = GatewayCluster()
        caller = cluster.caller()

        def raises(*_):
            raise AttributeError("no attribute")

        caller.pipe.peer.protocol.headerReceived = raises
        caller.pipe.write(request("/read/x", "1"))
        cluster.pass_time(0.1)
        self.assertEqual(400, caller.last.status)
        self.assertEqual(1, sum("request intake" in row for row in lines))
        cluster.pass_time(2)
        self.assertEqual(0, len(cluster.gateway.factory.channels))
        self.assertEqual(200, cluster.ask("/read/x").last.status)

    def test_empty_lines_are_refused_once(self):
        """Guards against a connection that closes without an answer."""
        lines = collect_lines(self)
        cluster = GatewayCluster()
        caller = cluster.caller()
        caller.pipe.write(b"\r\n" * 2048)
        cluster.pass_time(0.1)
        self.assertEqual([400], [row.status for row in caller.answers])
        refused = [row for row in lines if "REQUEST_FAILED" in row]
        self.assertEqual(1, len(refused))
        self.assertEqual([], [row for row in lines if "Traceback" in row])
        cluster.pass_time(2)
        self.assertEqual(0, len(cluster.gateway.factory.channels))
        self.assertEqual(200, cluster.ask("/read/x").last.status)

    def test_no_part_of_a_request_goes_on_without_end(self):
        """Guards against memory that one caller fills."""
        for name, (before, again) in _ENDLESS_REQUESTS.items():
            cluster = GatewayCluster()
            caller = cluster.caller()
            caller.pipe.write(before)
            for _ in range(40):
                caller.pipe.write(again)
                cluster.pass_time(0.002)
            self.assertIn(caller.last.status, (400, 413), name)
            cluster.pass_time(2)
            self.assertEqual(0, len(cluster.gateway.factory.channels), name)
            self.assertEqual([], cluster.seen(), name)


class PeerTest(TestCase):
    """Datagrams of other gateways."""

    def setUp(self):
        super().setUp()
        self.lines = collect_lines(self)
        self.cluster = GatewayCluster(vms=("front-1", "front-2"))
        self.messenger = self.cluster.gateway.messenger

    def refused(self):
        """Returns the log lines of refused messages."""
        return [line for line in self.lines if "REPORT_REFUSED" in line]

    def test_malformed_messages_are_refused(self):
        for data in (b"", b"\x91" * 5000, b"\xff" * 100, b"\x81\xa4type"):
            self.messenger.datagramReceived(data, _PEER)
        self.assertEqual(4, len(self.refused()))

    def test_a_message_that_raises_ends_no_other(self):
        """Guards against a handler that keeps the socket from others."""

        def fail(message, sender):
            raise LookupError("a fault of ours")

        handlers = self.messenger._handlers
        before = handlers[Released]
        handlers[Released] = fail
        data = msgspec.msgpack.encode(Released("00ff"))
        self.messenger.datagramReceived(data, _PEER)
        handlers[Released] = before
        (line,) = self.refused()
        self.assertIn("LookupError", line)
        self.assertEqual(1, self.messenger.guard.failures["Released"])
        self.assertEqual(200, self.cluster.ask("/read/x").last.status)


class StoreTest(TestCase):
    """Answers of stores of cache parts and of engines."""

    def test_malformed_rows_are_left_out(self):
        """Guards against one row that ends the polls of a store."""
        lines = collect_lines(self)
        cluster = GatewayCluster()
        store = cluster.add_store()
        (poller,) = cluster.gateway.prefix_cache.store_pollers.pollers.values()
        body = {
            "epoch": 7,
            "next": 9,
            "events": [
                [1, "+", "/m/1", "aa", 100, "m"],
                [2, "+", ["/m/1"], "bb", 100, "m"],
                [3, "+", "/m/1", "cc", "many", "m"],
                [4, "+", "/m/1"],
                5,
                [6, "+", "/m/1", "dd", 10**30, "m"],
                [7, "+", "/m/\u00b2", "ee", 100, "m"],
                [8, "+", "/m/1", "ff", 100, "m"],
            ],
        }
        answer = store.answer
        store.answer = lambda conn, req: conn.reply(
            req, 200, msgspec.json.encode(body)
        )
        cluster.pass_time(2)
        store.answer = answer
        named = {part for _, part in poller.index.parts}
        self.assertEqual({"aa", "ee", "ff"}, named)
        task = cluster.gateway.prefix_cache.store_pollers.tasks["cache"]
        self.assertEqual(0, task.failures)
        refused = [line for line in lines if "STORE_ROWS_REFUSED" in line]
        self.assertIn('"rows":5', refused[0])
        self.assertEqual(("m", 0), model_and_version("/m/\u00b2"))

    def test_an_answer_nested_deep_ends_no_task(self):
        """Guards against polls and reports that one answer ends."""
        cluster = GatewayCluster()
        store = cluster.add_store()
        engine = next(iter(cluster.engines.values()))
        sound = store.answer, engine.answer
        for one in (store, engine):
            one.answer = lambda conn, req: conn.reply(req, 200, _DEEP)
        cluster.write("op/version/m", {"model": "m", "version": 2})
        cluster.pass_time(4)
        store.answer, engine.answer = sound
        cluster.pass_time(10)
        tasks = cluster.gateway.prefix_cache.store_pollers.tasks
        self.assertEqual([0], [task.failures for task in tasks.values()])
        self.assertEqual(2, engine.version)

    def test_long_numbers_in_heads_of_answers_are_no_answer(self):
        """Guards against a sound answer that is dropped for a header."""
        for name in ("X-Weight-Versions", "Keep-Alive"):
            value = _DIGITS if name[0] == "X" else f"timeout={_DIGITS}"
            cluster = GatewayCluster()
            for desk in cluster.desks.values():
                desk.own_headers = partial(list, [(name, value)])
            self.assertEqual(200, cluster.ask("/read/x").last.status, name)
