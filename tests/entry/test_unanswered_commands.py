"""Orders to engines that have no answer, and what is done meanwhile."""

from testtools import TestCase

from tests.entry.test_rollout_commands import name_weights
from tests.gatewaycluster import GatewayCluster

# Longer than any test here: an order that is carried out this late is lost.
NEVER_S = 60.0


def versions(cluster):
    """Returns the weights of all engines."""
    return [engine.version for engine in cluster.engines.values()]


def take_time(cluster, version, most_s):
    """Returns the seconds until all engines have a version."""
    begun = cluster.net.seconds()
    while cluster.net.seconds() - begun < most_s:
        if set(versions(cluster)) == {version}:
            break
        cluster.pass_time(0.05)
    return cluster.net.seconds() - begun


class UnansweredOrderTest(TestCase):
    """Engines leave orders unanswered, and may carry them out late."""

    def started(self, engines=6):
        """Returns a cluster whose lease has been won and may be used."""
        cluster = GatewayCluster(desks=0, engines=engines)
        cluster.pass_time(4)
        return cluster

    def test_it_is_repeated_at_once(self):
        """Three engines in five leave their first orders unanswered.

        Symptom: engines have the first weights 12 s after the second ones
        were named. Sequence: the two engines that may load leave their
        orders unanswered, then the next two do. Cause: an order without an
        answer kept its engine's place for five seconds before it was given
        again. The same order twice is carried out once, since it says how
        many the engine must have accepted before.
        """
        cluster = self.started()
        for engine in list(cluster.engines.values())[:4]:
            engine.late_orders = [NEVER_S, NEVER_S]
        name_weights(cluster, 2)
        self.assertLess(take_time(cluster, 2, 12.0), 8.0)

    def test_repeated_it_is_carried_out_once(self):
        cluster = self.started(engines=1)
        (engine,) = cluster.engines.values()
        engine.late_orders = [0.7, 3.0]
        name_weights(cluster, 2)
        cluster.pass_time(8)
        self.assertEqual(2, engine.version)
        self.assertEqual(1, engine.accepted)

    def test_an_order_carried_out_late_does_not_stop_the_next(self):
        """An order for older weights is carried out before the newer one.

        Symptom: an engine keeps the weights between for five seconds more.
        Sequence: the order for version 2 has no answer and is carried out a
        moment before that for version 3 arrives, which the engine refuses,
        as it has accepted one more than it says. Cause: the refusal was
        taken for an order under way.
        """
        cluster = self.started(engines=1)
        (engine,) = cluster.engines.values()
        engine.late_orders = [0.5]
        name_weights(cluster, 2)
        cluster.pass_time(0.55)
        name_weights(cluster, 3)
        self.assertLess(take_time(cluster, 3, 12.0), 4.5)

    def test_an_engine_that_lost_its_order_gets_it_again(self):
        """An engine starts anew while it loads, and has forgotten the order.

        Symptom: it keeps the old weights for five seconds. Sequence: it
        accepts the order, starts again under its id, and its report says
        that it does nothing. Cause: only time decided when to order again.
        """
        cluster = self.started(engines=1)
        (engine,) = cluster.engines.values()
        engine.load_s = NEVER_S
        name_weights(cluster, 2)
        cluster.pass_time(0.5)
        self.assertTrue(engine.busy)
        engine.load_s = 1.3
        engine.busy = False
        engine.accepted = 0
        self.assertLess(take_time(cluster, 2, 12.0), 4.0)


class BarredWeightsTest(TestCase):
    """Prompts and engines whose weights were replaced a bound ago."""

    def started(self, engines):
        """Returns a cluster in which one engine takes no orders."""
        cluster = GatewayCluster(desks=0, engines=engines)
        cluster.pass_time(4)
        stuck = next(iter(cluster.engines.values()))
        stuck.late_orders = [NEVER_S] * 1000
        name_weights(cluster, 2)
        return cluster, stuck

    def test_an_engine_that_takes_no_orders_gets_no_prompts(self):
        """Prompts begin on weights that were replaced a bound ago.

        Symptom: answers on the first weights 12.2 s after the second were
        named. Sequence: an engine leaves every order unanswered and serves
        on. Cause: a gateway asked for whatever weights an engine had.
        """
        cluster, stuck = self.started(engines=2)
        cluster.pass_time(12)
        before = len(stuck.ran)
        for number in range(6):
            caller = cluster.ask("/draft/x", parts=f"p{number}:2000,o:900")
            self.assertEqual(200, caller.last.status)
        self.assertEqual(before, len(stuck.ran))

    def test_without_another_engine_they_are_refused_at_once(self):
        cluster, _ = self.started(engines=1)
        cluster.pass_time(12)
        caller = cluster.ask("/draft/x", seconds=0.1)
        self.assertEqual(503, caller.last.status)
        self.assertIn("retry-after", caller.last.headers)

    def test_within_the_bound_they_are_served(self):
        cluster, _ = self.started(engines=1)
        cluster.pass_time(5)
        self.assertEqual(200, cluster.ask("/draft/x").last.status)
