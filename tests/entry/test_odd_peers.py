"""Datagrams of other gateways whose figures no sound one would send."""

import math

import msgspec
from testtools import TestCase

from magnolialug.entry.peermessenger import PeerMessenger
from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines

_ODD_INTS = (-1, -(2**63), 2**63, 2**64 - 1, 0)
_ODD_FLOATS = (math.nan, math.inf, -math.inf, -1.0, 1e308, 0.0)
_PEER = ("10.0.0.2", 7000)
_OTHER_GATEWAY = ("10.0.0.2", 80)
# By then nothing of a peer that reports no more is believed.
_FORGOTTEN_S = 6.0


def _variants(value):
    """Yields a decoded message with one of its figures replaced."""
    if isinstance(value, (list, dict)):
        keys = range(len(value)) if isinstance(value, list) else list(value)
        for key in keys:
            for other in _variants(value[key]):
                changed = value.copy()
                changed[key] = other
                yield changed
    elif isinstance(value, float):
        yield from _ODD_FLOATS
    elif isinstance(value, int) and not isinstance(value, bool):
        yield from _ODD_INTS


class OddPeerTest(TestCase):
    """One gateway among two sends figures that mean nothing."""

    def setUp(self):
        super().setUp()
        self.lines = collect_lines(self)
        self.cluster = GatewayCluster(
            desks=2, engines=2, vms=("front-1", "front-2")
        )
        self.messenger = self.cluster.gateway.messenger

    def sent_messages(self):
        """Returns one sound datagram of each kind that the peers exchange."""
        found = {}
        receive = PeerMessenger.datagramReceived

        def note(messenger, data, addr):
            found[msgspec.msgpack.decode(data)[0]] = data
            receive(messenger, data, addr)

        self.patch(PeerMessenger, "datagramReceived", note)
        self.cluster.add_store()
        callers = [self.cluster.caller(), self.cluster.caller(_OTHER_GATEWAY)]
        for number in range(24):
            caller = callers[number % 2]
            self.cluster.send("/read/x", caller)
            self.cluster.pass_time(0.05)
            self.cluster.send("/draft/x", caller, parts=f"a{number}:2000")
            self.cluster.pass_time(0.05)
        self.cluster.pass_time(1)
        return dict(found)

    def test_odd_figures_end_nothing(self):
        """Guards against a task or a request that one figure ends."""
        found = self.sent_messages()
        self.assertGreaterEqual(len(found), 3, found.keys())
        for kind, data in found.items():
            for variant in _variants(msgspec.msgpack.decode(data)):
                self.messenger.datagramReceived(
                    msgspec.msgpack.encode(variant), _PEER
                )
                callers = [
                    self.cluster.send(path)
                    for path in ("/read/x", "/draft/x", "/check/x")
                ]
                self.cluster.pass_time(0.02)
                failed = [row for row in self.lines if "TASK_FAILED" in row]
                self.assertEqual([], failed, (kind, variant))
                del callers
                self.lines.clear()
        self.cluster.pass_time(_FORGOTTEN_S)
        for path in ("/read/x", "/draft/x", "/check/x"):
            self.assertEqual(200, self.cluster.ask(path).last.status, path)
