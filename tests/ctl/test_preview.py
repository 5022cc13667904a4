"""Previews as operators ask for them, over the listener of a gateway's metrics.

They guard against a tool that fails without a reason when the gateway does not
answer, and against a gateway that works for operators who have left.
"""

import msgspec
from testtools import TestCase
from twisted.internet.defer import ensureDeferred

from magnolialug.ctl.preview import preview_lines
from magnolialug.entry.readiness import ready_factory, text_factory
from magnolialug.preview.page import PREVIEW_PATH, preview_page
from magnolialug.result import Code
from magnolialug.standin.caller import Caller
from tests.gatewaycluster import GatewayCluster
from tests.preview.asking import PROMPT

ADDRESS = ("10.0.0.1", 9100)
URL = "http://10.0.0.1:9100"
METRICS = "requests 1"


class OnNetwork:
    """A listener whose channels time out on the clock of a test."""

    def __init__(self, net, factory):
        self._net = net
        self._factory = factory

    def buildProtocol(self, addr):
        """Returns the protocol of a new connection."""
        channel = self._factory.buildProtocol(addr)
        channel.callLater = self._net.callLater
        return channel


class PreviewCase(TestCase):
    """Two gateways; the first one listens for operators."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(engines=3, vms=("front-1", "front-2"))
        self.cluster.pass_time(1)
        self.net = self.cluster.net
        self.previewer = self.cluster.gateway.previewer
        pages = {PREVIEW_PATH: preview_page(self.previewer.explain)}
        self.listen(text_factory(lambda: METRICS, pages))

    def listen(self, factory):
        """Sets what listens at the address."""
        self.net.servers[ADDRESS] = OnNetwork(self.net, factory)

    def get(self, target, method="GET"):
        """Sends a request to the listener; returns its caller."""
        caller = Caller(self.net)
        caller.pipe = self.net.connect(caller, ADDRESS)
        request = f"{method} {target} HTTP/1.1\r\nHost: h\r\n\r\n"
        caller.pipe.write(request.encode())
        return caller


class CommandTest(PreviewCase):
    """What the command prints."""

    def ask(self, url=URL, form="text", arguments=None, **request):
        """Returns the command's lines, or its failure."""
        found = []
        rows = [f"{k}={v}" for k, v in (request or PROMPT).items()]
        rows = rows if arguments is None else arguments
        lines = preview_lines(self.net, url, rows, form)
        ensureDeferred(lines).addCallback(found.append)
        self.cluster.pass_time(4)
        return found[0]

    def test_the_choice_and_its_reason_come_first(self):
        first, route, basis, *rest = self.ask()
        self.assertIn("front-1: to i-llm", first)
        self.assertIn("cheapest sound one with room", first)
        self.assertIn("team team-a", route)
        self.assertEqual("rests on replies of all owners", basis)
        self.assertIn("  i-llm", "\n".join(rest))

    def test_json_holds_the_same(self):
        (line,) = self.ask(form="json")
        found = msgspec.json.decode(line)
        self.assertEqual("sent", found["outcome"])
        self.assertEqual(3, len(found["compared"]))

    def test_values_with_signs_arrive_as_given(self):
        """Guards against a path that ends at its first sign."""
        found = self.ask(host="h.example", path="/read/a&b=c%2F?x")
        self.assertIn("UNAUTHENTICATED", found[0])

    def test_a_bad_value_is_named(self):
        failure = self.ask(route="read", priority="high")
        self.assertIs(Code.BAD_PREVIEW, failure.code)
        self.assertEqual(("priority", "high"), (failure.field, failure.value))
        failure = self.ask(arguments=["read"])
        self.assertEqual(("argument", "read"), (failure.field, failure.value))

    def test_a_gateway_that_cannot_be_reached_is_named(self):
        for url in ("http://10.0.0.9:9100", ""):
            failure = self.ask(url)
            self.assertIn(url, (failure.field, failure.value))
        self.assertIs(
            Code.CONNECTION_REFUSED, self.ask("http://10.0.0.9:9100").code
        )

    def test_a_gateway_that_is_not_ready_says_so(self):
        self.cluster.gateway.registry.known = False
        failure = self.ask()
        self.assertIs(Code.CONFIG_MISSING, failure.code)
        self.assertIn("not ready", failure.reason)

    def test_a_listener_without_previews_is_said(self):
        """Guards against metrics that are read as an explanation."""
        self.listen(text_factory(lambda: METRICS))
        failure = self.ask()
        self.assertIn("answers no previews", failure.reason)
        self.assertEqual(URL, failure.field)


class ListenerTest(PreviewCase):
    """What the listener answers."""

    def test_everything_else_gets_the_metrics_as_before(self):
        cases = [("/metrics", "GET"), ("/", "GET"), ("/preview", "POST")]
        for target, method in cases:
            caller = self.get(target, method)
            self.cluster.pass_time(0.1)
            self.assertEqual(200, caller.last.status)
            self.assertEqual(METRICS.encode(), caller.last.body)
            self.assertIn("text/plain", caller.last.headers["content-type"])

    def test_the_readiness_check_answers_no_previews(self):
        """Guards against previews on a listener that others may reach."""
        self.listen(ready_factory(lambda: True))
        caller = self.get("/preview?route=read")
        self.cluster.pass_time(0.1)
        self.assertEqual((200, b""), (caller.last.status, caller.last.body))

    def test_a_preview_ends_when_its_asker_leaves(self):
        self.net.loses_datagram = lambda sender, receiver: True
        query = "&".join(f"{k}={v}" for k, v in PROMPT.items())
        pending = self.cluster.gateway.owners.pending_queries
        caller = self.get(f"/preview?{query}")
        self.net.advance_by(0.004, 0.001)
        self.assertNotEqual({}, pending._pending)
        caller.pipe.loseConnection()
        self.net.advance_by(0.003, 0.001)
        self.assertEqual({}, pending._pending)
        self.assertEqual(0, self.previewer._running)
