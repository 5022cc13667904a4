"""A gateway that leads weight rollouts, and whose watch is lost.

The pattern: the answer to its waiting watch never comes, while all its other
calls are answered, so it keeps the lease and does not hear of new weights.
"""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster

# Within this time engines must have new weights; later gateways that know of
# them refuse prompts for engines on older ones.
_WEIGHTS_S = 12.0
_OTHER = ("10.0.0.2", 80)


class LostWatchTest(TestCase):
    """Guards against a rollout that nobody commands."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(desks=0, engines=2)
        self.cluster.pass_time(3)
        self.cluster.kv.lose_watches()
        self.cluster.start("front-2", 2)
        self.cluster.pass_time(0.5)
        self.assertTrue(self.cluster.gateway._lease.held)
        self.cluster.write("op/version/m", {"model": "m", "version": 2})

    def test_new_weights_reach_all_engines_though_the_leader_lost_its_watch(
        self,
    ):
        self.cluster.pass_time(_WEIGHTS_S)
        engines = self.cluster.engines.values()
        self.assertEqual([2, 2], [engine.version for engine in engines])

    def test_prompts_are_served_where_the_new_weights_are_known(self):
        self.cluster.pass_time(_WEIGHTS_S + 1)
        caller = self.cluster.caller(_OTHER)
        self.cluster.ask("/check/x", 2.0, caller=caller)
        self.assertEqual(200, caller.last.status)
