"""A rollout while an engine gives no report for a while."""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster


class SilentEngineTest(TestCase):
    """An engine whose reports cannot be read, and later can."""

    def test_all_engines_get_the_weights_in_the_end(self):
        """Guards against a plan that closes and opens an engine by turns.

        Each change is announced before any engine is asked, so that no engine
        was asked any more.
        """
        cluster = GatewayCluster()
        cluster.pass_time(5)
        silent, *others = cluster.engines.values()
        answer = silent.answer
        silent.answer = lambda conn, req: conn.reply(req, 500, b"")
        cluster.write("op/version/m", {"model": "m", "version": 2})
        cluster.pass_time(4)
        self.assertEqual({2}, {engine.version for engine in others})
        number = cluster.gateway._lease.announced.number
        cluster.pass_time(2)
        again = cluster.gateway._lease.announced.number
        self.assertLessEqual(again - number, 2)
        silent.answer = answer
        cluster.pass_time(8)
        self.assertEqual(2, silent.version)
