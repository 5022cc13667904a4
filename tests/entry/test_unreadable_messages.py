"""Bytes of callers, gateways, engines and stores that cannot be read."""

from functools import partial

import msgspec
from testtools import TestCase

from magnolialug.policy.cachenamespace import model_and_version
from magnolialug.quarantine.messages import Released
from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines

_DEEP = b'{"a":' * 3000
_DIGITS = "9" * 5000
_PEER = ("10.0.0.9", 7000)


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
