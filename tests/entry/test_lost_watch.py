"""A rollout leader whose watch on the key-value service is lost.

The reply to its watch never arrives while its other calls are answered. It
keeps the rollout lease but does not see that new weights are set.
"""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster

# Engines must have new weights within this time. After it, gateways that know
# the new version send no prompts to engines on older versions.
_ROLLOUT_S = 12.0
_OTHER_GATEWAY = ("10.0.0.2", 80)


class LostWatchTest(TestCase):
    """Guards against a rollout without a working leader."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(desks=0, engines=2)
        self.cluster.pass_time(3)
        self.cluster.kv.lose_watches()
        self.cluster.start("front-2", 2)
        self.cluster.pass_time(0.5)
        self.assertTrue(self.cluster.gateway._lease.held)
        self.cluster.write("op/version/m", {"model": "m", "version": 2})

    def test_new_weights_reach_all_engines_after_a_lost_watch(self):
        self.cluster.pass_time(_ROLLOUT_S)
        engines = self.cluster.engines.values()
        self.assertEqual([2, 2], [engine.version for engine in engines])

    def test_prompts_are_served_by_gateways_that_know_the_new_weights(self):
        self.cluster.pass_time(_ROLLOUT_S + 1)
        caller = self.cluster.caller(_OTHER_GATEWAY)
        self.cluster.ask("/check/x", 2.0, caller=caller)
        self.assertEqual(200, caller.last.status)
