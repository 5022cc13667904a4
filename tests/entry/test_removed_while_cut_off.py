"""Endpoints removed while a gateway cannot reach the key-value service.

The service continues to serve everyone else. An endpoint leaves without
announcing that it drains, and its entry is removed.
"""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster

# A gateway must have caught up this long after its path is restored.
_CATCH_UP_S = 3.0
_CUT_S = 12.0
_PATH = ("10.9.9.1", 1)
_DISCONNECTED = ("10.0.0.9", 80)


class DisconnectedGatewayCluster:
    """One gateway whose path to the service can be cut, and one other."""

    def __init__(self):
        self.cluster = GatewayCluster(desks=2, engines=0)
        self.net = self.cluster.net
        self.cluster.start_behind(_PATH, "front-9", 9)
        self.cluster.pass_time(1)

    def cut(self, seconds, removed=(), drops_history=False):
        """Cuts the path for some time, while entries are removed."""
        self.net.cut(_PATH)
        self.cluster.pass_time(seconds / 2)
        for desk in removed:
            self.cluster.remove(f"servers/{desk.instance}")
        if drops_history:
            self.cluster.kv.forget()
        self.cluster.pass_time(seconds / 2)
        self.net.heal(_PATH)

    def ask(self, seconds):
        """Sends requests to the disconnected gateway for some time."""
        until = self.net.seconds() + seconds
        while self.net.seconds() < until:
            caller = self.cluster.caller(_DISCONNECTED)
            self.cluster.ask("/read/x", 0.02, caller=caller)


class RemovedWhileCutOffTest(TestCase):
    """Guards against work for an endpoint long after its entry is removed."""

    def late_arrivals(self, cut_s, wait_s=0.0, drops_history=False):
        """Returns how many requests reach a removed endpoint too late.

        Args:
          cut_s: how long the path is cut.
          wait_s: time before the cut.
          drops_history: whether the service drops its history meanwhile.
        """
        disconnected = DisconnectedGatewayCluster()
        disconnected.cluster.pass_time(wait_s)
        removed = disconnected.cluster.desks["i-desk1"]
        disconnected.cut(cut_s, [removed], drops_history)
        disconnected.ask(_CATCH_UP_S)
        before = len(removed.seen)
        disconnected.ask(2)
        return len(removed.seen) - before

    def test_a_removed_endpoint_gets_nothing_after_the_catch_up_time(self):
        """The path can return at any moment between two connection attempts."""
        late = [self.late_arrivals(_CUT_S + step * 0.15) for step in range(14)]
        self.assertEqual([0] * 14, late)

    def test_the_same_after_the_service_dropped_its_history(self):
        """The service answers 410 to the query for changes since the cut."""
        late = [
            self.late_arrivals(_CUT_S + step * 0.15, drops_history=True)
            for step in range(14)
        ]
        self.assertEqual([0] * 14, late)

    def test_the_same_when_open_connections_stop_carrying_data(self):
        """Open connections carry nothing any more while new ones work."""
        late = [self.late_arrivals(0.01, step * 0.1) for step in range(10)]
        self.assertEqual([0] * 10, late)
