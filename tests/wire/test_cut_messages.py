"""Messages on links that end at any byte."""

from struct import pack

from testtools import TestCase
from twisted.internet.defer import ensureDeferred, succeed

from magnolialug.config.current import make_doc
from magnolialug.result import Code, Failure
from magnolialug.wire.link import Link
from magnolialug.wire.messages import ConfigDoc, encode
from magnolialug.wire.queries import query_config
from tests.cutserver import CutServer
from tests.network import Network

_PEER = ("10.0.0.1", 80)


def queried(response, resets):
    """Returns what a query for the configuration yields for a response."""
    net = Network()
    net.servers[_PEER] = CutServer(response, resets)
    link = Link(net)
    net.connect(link, _PEER)
    results = []
    fut = ensureDeferred(query_config(lambda: succeed(link), net, 1.0))
    fut.addCallback(results.append)
    net.advance_by(0.05)
    (found,) = results
    return found


class CutMessageTest(TestCase):
    """A query whose peer ends in the middle of its reply."""

    def test_a_cut_message_is_none(self):
        """Guards against a configuration of which the end is missing."""
        data = encode(make_doc(1, "a text"))
        frame = pack("!I", len(data)) + data
        for size in range(len(frame)):
            for resets in (False, True):
                found = queried(frame[:size], resets)
                self.assertIsInstance(found, Failure, size)
                self.assertEqual(Code.CONNECTION_CLOSED, found.code, size)
        self.assertIsInstance(queried(frame, False), ConfigDoc)
