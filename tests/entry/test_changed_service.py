"""An endpoint whose registry entry names another service than before."""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster


class ChangedServiceTest(TestCase):
    """One id, two services one after the other."""

    def test_an_endpoint_that_changes_its_service_is_moved(self):
        """Guards against a removal under a service that never listed it."""
        cluster = GatewayCluster()
        engine = next(iter(cluster.engines.values()))
        cluster.relist(engine, service="desk")
        cluster.pass_time(0.5)
        cluster.remove(f"servers/{engine.instance}")
        cluster.pass_time(0.5)
        added = cluster.add_desk()
        cluster.pass_time(1)
        peers = cluster.gateway.directory.peers
        self.assertNotIn(engine.instance, peers)
        self.assertIn(added.instance, peers)
