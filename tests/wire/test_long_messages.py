"""Messages between processes that take long to arrive on a slow link.

The pattern: the configuration of a deployment with thousands of teams goes to
a sidecar as one frame of megabytes.
"""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.protocol import Factory

from magnolialug.config.current import make_doc
from magnolialug.result import Code, Failure
from magnolialug.wire.asking import ask_config
from magnolialug.wire.link import SILENCE_S, Link
from magnolialug.wire.messages import ConfigDoc, ConfigWant
from tests.network import Network

_PEER = ("10.0.0.1", 80)
_RATE = 100_000
# Takes twice the bound on silence at that rate.
_TEXT = "x" * int(2 * SILENCE_S * _RATE)


class LongMessageTest(TestCase):
    """Two ends of a connection over a slow link."""

    def setUp(self):
        super().setUp()
        self.net = Network()
        self.net.slow_link(_PEER, _RATE)
        self.net.servers[_PEER] = Factory.forProtocol(self.peer)
        self.link = Link(self.net)
        pipe = self.net.connect(self.link, _PEER)
        pipe.address = _PEER
        self.ended = []
        self.link.on_down = self.ended.append

    def peer(self):
        """Returns the end that answers with a long text."""
        link = Link(self.net)

        def answer(message):
            if isinstance(message, ConfigWant):
                link.send(make_doc(1, _TEXT))

        link.on_message = answer
        link.heartbeat = lambda: ConfigWant(0)
        return link

    def test_a_long_frame_does_not_end_its_connection(self):
        """Guards against frames that are begun anew for ever."""
        taken = []
        self.link.on_message = taken.append
        self.link.heartbeat = lambda: ConfigWant(1)
        self.link.send(ConfigWant(0))
        self.net.advance_by(2.2 * SILENCE_S)
        self.assertEqual([], self.ended)
        self.assertTrue(any(isinstance(row, ConfigDoc) for row in taken))

    def test_a_configuration_is_taken_though_it_arrives_for_seconds(self):
        """Guards against processes that start without a configuration."""
        fut = ensureDeferred(
            ask_config(lambda: succeed(self.link), self.net, timeout_s=1.0)
        )
        results = []
        fut.addCallback(results.append)
        self.net.advance_by(2.2 * SILENCE_S)
        self.assertEqual(_TEXT, results[0].text)

    def test_one_that_falls_silent_is_given_up(self):
        """Guards against a wait for the rest of a frame that is lost."""
        fut = ensureDeferred(
            ask_config(lambda: succeed(self.link), self.net, timeout_s=1.0)
        )
        results = []
        fut.addCallback(results.append)
        self.net.advance_by(2.0)
        self.link.transport.silent = True
        self.link.transport.peer.silent = True
        self.net.advance_by(1.5)
        self.assertIsInstance(results[0], Failure)
        self.assertEqual(Code.CONNECTION_SILENT, results[0].code)
