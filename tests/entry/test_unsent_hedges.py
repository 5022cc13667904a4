"""Tests of attempts of which their endpoint gets nothing."""

from testtools import TestCase

from magnolialug.standin.modelserver import ModelServerStandin
from tests.entry.test_silent_endpoints import result, set_streams
from tests.gatewaycluster import GatewayCluster


class UnsentAttemptTest(TestCase):
    """A stream of 0.8 s whose engine loses power, and three engines."""

    def begin(self, without=()):
        """Returns the cluster and the caller of a stream that has begun."""
        cluster = GatewayCluster(desks=0, engines=3)
        set_streams(cluster, events=16)
        cluster.pass_time(1)
        for name in without:
            del cluster.net.servers[cluster.engines[name].address]
        caller = cluster.send("/check/x")
        cluster.pass_time(0.4)
        return cluster, caller

    def order(self):
        """Returns the engines in the order in which they are tried."""
        cluster, _ = self.begin()
        first = next(e for e in cluster.engines.values() if e.seen)
        first.fall_silent(60)
        cluster.pass_time(2.5)
        used = {e.instance: e for e in cluster.engines.values() if e.seen}
        self.assertEqual(2, len(used))
        del used[first.instance]
        return first.instance, *used

    def test_stream_goes_on_at_a_third_engine_if_the_second_got_nothing(self):
        """Guards against an attempt that counts though it reached nobody."""
        first, second = self.order()
        seen = {}
        for trouble in ("refused", "dark", "replaced"):
            for resets in (False, True):
                cluster, caller = self.begin()
                cluster.engines[first].fall_silent(60)
                address = cluster.engines[second].address
                if trouble == "refused":
                    del cluster.net.servers[address]
                elif trouble == "replaced":
                    start = ModelServerStandin(cluster.net, "i-new")
                    cluster.net.servers[address] = start
                else:
                    cluster.net.dark.add(address)
                if resets:
                    cluster.pass_time(1.2)
                    for conn in list(cluster.engines[first].open):
                        conn.transport.abortConnection()
                cluster.pass_time(3.4)
                ran = cluster.ran(caller.request_id)
                seen[trouble, resets] = (result(caller), ran)
        self.assertEqual({("whole", 2)}, set(seen.values()), seen)

    def test_stream_goes_on_if_the_first_engine_got_nothing(self):
        """Guards against the same where the first attempt reached nobody."""
        first, _ = self.order()
        cluster, caller = self.begin(without=[first])
        running = next(e for e in cluster.engines.values() if e.seen)
        running.fall_silent(60)
        cluster.pass_time(3.4)
        self.assertEqual("whole", result(caller))
