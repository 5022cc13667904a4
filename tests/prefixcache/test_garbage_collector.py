"""Cached parts of replaced weights are freed."""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred

from magnolialug.platform.cachecalls import CacheChange
from tests.entry.test_unanswered_commands import NEVER_S
from tests.gatewaycluster import GatewayCluster

OLD = "/m/1"


class GarbageCollectorTest(TestCase):
    """Parts that no engine can fetch any more are freed."""

    def started(self, engines=2, capacity=1_000_000):
        """Returns a cluster and its store with parts of the first weights."""
        cluster = GatewayCluster(desks=0, engines=engines)
        store = cluster.add_store(capacity=capacity)
        for number in range(4):
            cluster.ask("/draft/x", parts=f"p{number}:2000,o:900")
        self.assertEqual(4, len(store.parts))
        return cluster, store

    def name_weights(self, cluster, version=2):
        """Configures a weight version as the operator does."""
        row = {"model": "m", "version": version}
        cluster.write("op/version/m", row)

    def test_parts_of_replaced_weights_are_freed(self):
        """Two versions are configured within one day.

        Symptom: half of the shared parts find no room in the stores and are
        recomputed. Cause: the parts of all earlier weights stayed there.
        """
        cluster, store = self.started()
        store.begin((OLD, "broken off"), 5000)
        self.name_weights(cluster)
        cluster.pass_time(9)
        self.assertEqual([2, 2], [e.version for e in cluster.engines.values()])
        self.assertEqual({}, store.parts)
        self.assertEqual(5, len(set(store.freed)))
        (poller,) = cluster.gateway.prefix_cache.store_pollers.pollers.values()
        self.assertEqual(0, poller.index.used)

    def test_new_parts_find_room_again(self):
        cluster, store = self.started(capacity=9000)
        self.name_weights(cluster)
        cluster.pass_time(9)
        cluster.ask("/draft/x", parts="new:6000,o:900")
        self.assertIn(("/m/2", "new"), store.parts)

    def test_nothing_is_freed_while_an_engine_serves_the_old_weights(self):
        cluster, store = self.started()
        slow = next(iter(cluster.engines.values()))
        slow.late_orders = [NEVER_S] * 1000
        self.name_weights(cluster)
        cluster.pass_time(9)
        self.assertEqual([], store.freed)
        self.assertEqual(4, len(store.parts))

    def test_nothing_is_freed_before_every_fetch_has_ended(self):
        cluster, store = self.started(engines=1)
        (engine,) = cluster.engines.values()
        self.name_weights(cluster)
        while engine.version < 2:
            cluster.pass_time(0.02)
        cluster.pass_time(1.7)
        self.assertEqual([], store.freed)

    def test_a_delayed_call_frees_nothing_after_a_store_restart(self):
        """A call that frees parts arrives after a restart of its store.

        Symptom: a part is freed while it is being fetched. Sequence: a store
        is listed, restarts and is written to, then the call arrives. Cause:
        the call did not name the start of the store that it was meant for.
        """
        cluster, store = self.started()
        ((name, poller),) = (
            cluster.gateway.prefix_cache.store_pollers.pollers.items()
        )
        collector = cluster.gateway.prefix_cache.collector
        store.restart()
        store.begin((OLD, "p0"), 2000)
        freed = []
        work = collector._free(
            name,
            store.address,
            poller.index,
            [CacheChange(True, OLD, "p0", 2000)],
        )
        ensureDeferred(work).addCallback(freed.append)
        cluster.pass_time(0.1)
        self.assertEqual([False], freed)
        self.assertIn((OLD, "p0"), store.parts)

    def test_the_cleanup_of_an_unresponsive_store_is_repeated(self):
        cluster, store = self.started()
        self.name_weights(cluster)
        cluster.pass_time(3)
        store.mute = True
        cluster.pass_time(3)
        store.mute = False
        cluster.pass_time(8)
        self.assertEqual({}, store.parts)
