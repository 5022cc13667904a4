"""Endpoints that leave while a gateway is cut off from the key-value service.

The pattern: the service goes on serving everybody else; an endpoint that never
says that it drains leaves, and its entry is removed.
"""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster

# A process is held to what it could know this long after its path is back.
_IN_TOUCH_S = 3.0
_CUT_S = 12.0
_PATH = ("10.9.9.1", 1)
_CUT_OFF = ("10.0.0.9", 80)


class CutOffCluster:
    """A gateway that is cut off from the service, and one that is not."""

    def __init__(self):
        self.cluster = GatewayCluster(desks=2, engines=0)
        self.net = self.cluster.net
        self.cluster.start_behind(_PATH, "front-9", 9)
        self.cluster.pass_time(1)

    def cut(self, seconds, removed=(), forgets=False):
        """Cuts the path for some time, while entries are removed."""
        self.net.cut(_PATH)
        self.cluster.pass_time(seconds / 2)
        for desk in removed:
            self.cluster.remove(f"servers/{desk.instance}")
        if forgets:
            self.cluster.kv.forget()
        self.cluster.pass_time(seconds / 2)
        self.net.heal(_PATH)

    def ask(self, seconds):
        """Sends requests to the gateway that was cut off for some time."""
        until = self.net.seconds() + seconds
        while self.net.seconds() < until:
            caller = self.cluster.caller(_CUT_OFF)
            self.cluster.ask("/read/x", 0.02, caller=caller)


class RemovedWhileCutOffTest(TestCase):
    """Guards against work for an endpoint long after its entry is removed."""

    def arrivals_when_in_touch(self, cut_s, wait_s=0.0, forgets=False):
        """Returns how many requests reach a removed endpoint too late."""
        cut_off = CutOffCluster()
        cut_off.cluster.pass_time(wait_s)
        removed = cut_off.cluster.desks["i-desk1"]
        cut_off.cut(cut_s, [removed], forgets)
        cut_off.ask(_IN_TOUCH_S)
        before = len(removed.seen)
        cut_off.ask(2)
        return len(removed.seen) - before

    def test_a_removed_endpoint_gets_nothing_once_the_path_is_long_back(self):
        """A path can come back at any moment between two attempts."""
        late = [
            self.arrivals_when_in_touch(_CUT_S + step * 0.15)
            for step in range(14)
        ]
        self.assertEqual([0] * 14, late)

    def test_the_same_where_the_service_has_dropped_its_history(self):
        """The changes since the cut began are answered with 410."""
        late = [
            self.arrivals_when_in_touch(_CUT_S + step * 0.15, forgets=True)
            for step in range(14)
        ]
        self.assertEqual([0] * 14, late)

    def test_one_removed_behind_silent_connections_gets_nothing_either(self):
        """Open connections fall silent for good while new ones work."""
        late = [
            self.arrivals_when_in_touch(0.01, step * 0.1) for step in range(10)
        ]
        self.assertEqual([0] * 10, late)
