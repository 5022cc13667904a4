"""Messages that take longer than the silence time-out on a slow link.

Example: the configuration of a deployment with thousands of teams is sent to a
sidecar as one frame of megabytes.
"""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.protocol import Factory

from magnolialug.config.current import make_doc
from magnolialug.result import Code, Failure
from magnolialug.wire.link import SILENCE_TIMEOUT_S, Link
from magnolialug.wire.messages import ConfigDoc, ConfigWant, Status
from magnolialug.wire.queries import query_config
from tests.network import Network

_PEER = ("10.0.0.1", 80)
_BYTES_PER_S = 100_000
# Takes twice the silence time-out at this rate.
_TEXT = "x" * int(2 * SILENCE_TIMEOUT_S * _BYTES_PER_S)
_STATUS = Status(0.0, False, 0, 0, (), 1.0, 1.0, 0, 0, "w1", 1, 1)


class LongMessageTest(TestCase):
    """Two ends of a connection over a slow network link."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.net.slow_link(_PEER, _BYTES_PER_S)
        self.net.servers[_PEER] = Factory.forProtocol(self.peer)
        self.link = Link(self.net)
        pipe = self.net.connect(self.link, _PEER)
        pipe.address = _PEER
        self.failures = []
        self.link.on_down = self.failures.append

    def peer(self):
        """Returns the peer's end, which replies with a long text."""
        link = self.peer_link = Link(self.net)

        def answer(message):
            if isinstance(message, ConfigWant):
                link.send(make_doc(1, _TEXT))

        link.on_message = answer
        link.heartbeat = lambda: ConfigWant(0)
        return link

    def test_a_long_frame_does_not_end_its_connection(self):
        """Guards against a long frame that is resent for ever."""
        received = []
        self.link.on_message = received.append
        self.link.heartbeat = lambda: ConfigWant(1)
        self.link.send(ConfigWant(0))
        self.net.advance_by(2.2 * SILENCE_TIMEOUT_S)
        self.assertEqual([], self.failures)
        self.assertTrue(any(isinstance(row, ConfigDoc) for row in received))

    def test_a_slowly_arriving_configuration_is_received(self):
        """Guards against processes that start without a configuration."""
        fut = ensureDeferred(
            query_config(lambda: succeed(self.link), self.net, timeout_s=1.0)
        )
        results = []
        fut.addCallback(results.append)
        self.net.advance_by(2.2 * SILENCE_TIMEOUT_S)
        self.assertEqual(_TEXT, results[0].text)

    def test_a_configuration_that_stalls_times_out(self):
        """Guards against waiting for ever for the rest of a lost frame."""
        fut = ensureDeferred(
            query_config(lambda: succeed(self.link), self.net, timeout_s=1.0)
        )
        results = []
        fut.addCallback(results.append)
        self.net.advance_by(2.0)
        self.link.transport.silent = True
        self.link.transport.peer.silent = True
        self.net.advance_by(1.5)
        self.assertIsInstance(results[0], Failure)
        self.assertEqual(Code.CONNECTION_SILENT, results[0].code)

    def test_heartbeats_of_a_peer_that_does_not_reply_end_the_query(self):
        """Guards against a query that other messages keep open for ever."""
        self.peer_link.on_message = lambda message: None
        self.peer_link.heartbeat = lambda: _STATUS
        fut = ensureDeferred(
            query_config(lambda: succeed(self.link), self.net, timeout_s=2.0)
        )
        results = []
        fut.addCallback(results.append)
        self.net.advance_by(2.5)
        self.assertEqual([Code.CONFIG_MISSING], [row.code for row in results])
