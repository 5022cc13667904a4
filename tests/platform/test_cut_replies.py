"""Consumers of the platform's replies, whose replies end at any byte.

Without framing, an orderly close ends a reply wherever it comes. A consumer
may then use the status, which came whole, and no part of a body.
"""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred

from magnolialug.carrier.client import Client
from magnolialug.ctl.fleetstatus import ask_entry
from magnolialug.ctl.preview import preview_lines
from magnolialug.ids import EndpointId, ServiceName, ZoneId
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.platform.enginecalls import EngineCalls, OrderReply
from magnolialug.platform.http import HttpClient
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.platform.storehttp import StoreHttp
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.policy.storedblock import Tier
from magnolialug.result import Code, Failure
from tests.cutserver import CutServer, framings
from tests.network import Network

_ADDRESS = ("10.1.0.1", 8080)
_URL = "http://10.1.0.1:8080"
_ENGINE = RegisteredEndpoint(
    EndpointId("e-1"), ServiceName("s"), _ADDRESS, ZoneId("z"), 4
)
_ITEM = b'{"key":"a","revision":12,"value":"MQ=="}'
_OK = b"200 OK"
_KV = {
    "get": (lambda kv: kv.get("a"), b'{"key":"a","value":"MQ==","revision":1}'),
    "page": (
        lambda kv: kv.page("a"),
        b'{"items":[' + _ITEM + b'],"asOf":123,"hasMore":true}',
    ),
    "snapshot": (
        lambda kv: kv.snapshot("a"),
        b'{"items":[],"asOf":123,"hasMore":false}',
    ),
    "revision": (
        lambda kv: kv.newest_revision(),
        b'{"items":[],"asOf":123,"hasMore":false}',
    ),
    "watch": (
        lambda kv: kv.changes("a", 7, 0.1),
        b'{"events":[' + _ITEM + b'],"asOf":123}',
    ),
    "write": (lambda kv: kv.put_if("a", b"1", 0), b'{"revision":123}'),
    "grant": (lambda kv: kv.grant(5), b'{"lease":123,"ttlMs":5000}'),
    "keep": (lambda kv: kv.keep(7), b'{"ttlMs":5000}'),
}
_STORE = {
    "lookup": (lambda store: store.lookup([]), b"[ ]"),
    "stage": (
        lambda store: store.stage("b", b"", Tier.DISK),
        b'{"generation":1}',
    ),
    "sample": (lambda store: store.sample(Tier.DISK, 3), b"[ ]"),
}
_CACHE = {
    "events": (
        lambda cache: cache.events(_ADDRESS, 7, 0.1),
        b'{"epoch":1,"next":23,"lost":true,"events":[],"born":4}',
    ),
    "list": (
        lambda cache: cache.list(_ADDRESS),
        b'{"epoch":1,"next":23,"held":[],"partial":[],"born":4}',
    ),
}


def outcome(response, resets, call):
    """Returns what a consumer makes of a response.

    Args:
      call: returns its coroutine, from a network.
    """
    net = Network()
    net.servers[_ADDRESS] = CutServer(response, resets)
    results = []
    ensureDeferred(call(net)).addBoth(results.append)
    net.advance_by(0.06)
    (found,) = results
    return found


def cuts(body, status=_OK):
    """Yields each cut response, whether by a reset, and a name."""
    for name, (head, text) in framings(body, status).items():
        for size in range(len(head) + len(text)):
            for resets in (False, True):
                case = (name, size - len(head), resets)
                yield (head + text)[:size], resets, case


class CutReplyTest(TestCase):
    """Each consumer, with each response that is cut."""

    def check(self, calls, consumer):
        """Asserts that a cut reply fails and a whole one does not."""
        for kind, (call, body) in calls.items():

            def run(net, call=call):
                return call(consumer(net))

            for response, resets, case in cuts(body):
                found = outcome(response, resets, run)
                self.assertIsInstance(found, Failure, (kind, case))
            for name, (head, text) in framings(body).items():
                found = outcome(head + text, False, run)
                self.assertNotIsInstance(found, Failure, (kind, name))

    def test_key_value_service(self):
        """Guards against a lease, revision or page that was not sent whole."""
        self.check(_KV, lambda net: KvHttp(Client(net), _ADDRESS))

    def test_store(self):
        """Guards against blocks that seem absent or staged."""
        self.check(_STORE, lambda net: StoreHttp(HttpClient(net), _URL))

    def test_cached_parts(self):
        """Guards against lists and events that lack their end."""
        self.check(_CACHE, lambda net: CacheCalls(Client(net)))

    def test_engine_reports(self):
        """Guards against weights and orders of a report that was cut."""
        body = b'{"sequence":12,"busy":true,"models":[],"born":34}'
        told = []
        self.check(
            {
                "report": (
                    lambda calls: calls.report(_ENGINE, told.append),
                    body,
                )
            },
            lambda net: EngineCalls(Client(net)),
        )
        self.assertEqual({0, 34}, {notices.born_ms for notices in told})


class CutStatusTest(TestCase):
    """Consumers to which a status says all."""

    def check(self, status, call, expected):
        """Asserts that only a complete head is believed.

        Without framing a complete head says all; an orderly close behind it
        changes nothing.
        """
        for response, resets, case in cuts(b'{"a":1}', status):
            found = outcome(response, resets, call)
            name, behind, _ = case
            if name == "close" and behind >= 0 and not resets:
                self.assertEqual(expected, found, case)
            else:
                self.assertNotEqual(expected, found, case)

    def test_orders(self):
        """Guards against an order that is taken for carried out."""
        for status, expected in (
            (b"202 Accepted", OrderReply.ACCEPTED),
            (b"200 OK", OrderReply.HOLDS),
            (b"412 Precondition Failed", OrderReply.FENCED),
        ):
            self.check(
                status,
                lambda net: EngineCalls(Client(net)).take_weights(
                    _ENGINE, "m", 1, "wait", "h", 1, 0, lambda notices: None
                ),
                expected,
            )

    def test_absent_keys(self):
        """Guards against a key that is there and taken for absent."""
        self.check(
            b"404 Not Found",
            lambda net: KvHttp(Client(net), _ADDRESS).get("a"),
            None,
        )

    def test_leases_that_have_run_out(self):
        """Guards against a leader that gives up its lease."""
        self.check(
            b"404 Not Found",
            lambda net: KvHttp(Client(net), _ADDRESS).keep(7),
            0.0,
        )

    def test_leases_that_are_ended(self):
        """Guards against a lease that is taken for ended."""
        self.check(
            b"200 OK",
            lambda net: KvHttp(Client(net), _ADDRESS).revoke(7),
            True,
        )

    def test_freed_parts(self):
        """Guards against parts that are taken for freed."""
        self.check(
            b"200 OK",
            lambda net: CacheCalls(Client(net)).free(_ADDRESS, 1, 0, []),
            None,
        )


class CutStatusPageTest(TestCase):
    """The operator's tool."""

    def test_a_cut_health_page_names_no_version(self):
        """Guards against a version of which digits are missing."""
        body = b'{"ready":true,"config_version":123}'
        for response, resets, case in cuts(body):
            found = outcome(
                response, resets, lambda net: ask_entry(HttpClient(net), _URL)
            )
            self.assertEqual(0, found.version, case)
            self.assertNotEqual("", found.note, case)

    def test_a_cut_refusal_of_a_preview_gives_no_reason(self):
        """Guards against a reason or a time of which the end is missing."""
        body = (
            b'{"code":109,"name":"n","reason":"why","field":"f",'
            b'"value":"v","retry_after_s":12.5}'
        )
        status = b"400 Bad Request"

        def ask(net):
            return preview_lines(net, _URL, ["path=/x"], "text")

        for response, resets, case in cuts(body, status):
            found = outcome(response, resets, ask)
            self.assertEqual(Code.CONNECTION_REFUSED, found.code, case)
            self.assertNotIn(found.retry_after_s, (1.0, 12.0, 12.5), case)
        for name, (head, text) in framings(body, status).items():
            found = outcome(head + text, False, ask)
            self.assertEqual(12.5, found.retry_after_s, name)
