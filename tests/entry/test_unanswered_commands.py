"""Commands to engines that remain unanswered, and their effects."""

from testtools import TestCase

from tests.entry.test_rollout_commands import name_weights
from tests.gatewaycluster import GatewayCluster

# Longer than any test here, so a command with this delay is never executed.
NEVER_S = 60.0


def versions(cluster):
    """Returns the weights version of each engine."""
    return [engine.version for engine in cluster.engines.values()]


def rollout_time_s(cluster, version, limit_s):
    """Returns the time until all engines have a version, up to the limit."""
    begun = cluster.net.seconds()
    while cluster.net.seconds() - begun < limit_s:
        if set(versions(cluster)) == {version}:
            break
        cluster.pass_time(0.05)
    return cluster.net.seconds() - begun


class UnansweredCommandTest(TestCase):
    """Engines do not answer commands, and may execute them late."""

    def started(self, engines=6):
        """Returns a cluster that has a leader."""
        cluster = GatewayCluster(desks=0, engines=engines)
        cluster.pass_time(4)
        return cluster

    def test_an_unanswered_command_is_repeated_at_once(self):
        """Three engines in five do not answer their first commands.

        Guards against engines with the first weights 12 s after the second were
        named. The two engines that may load do not answer, and then the next
        two do not. The fault was that an unanswered command occupied a slot for
        five seconds before it was sent again. A command sent twice is executed
        once, because it states how many the engine must have accepted before.
        """
        cluster = self.started()
        for engine in list(cluster.engines.values())[:4]:
            engine.late_orders = [NEVER_S, NEVER_S]
        name_weights(cluster, 2)
        self.assertLess(rollout_time_s(cluster, 2, 12.0), 8.0)

    def test_a_repeated_command_is_executed_once(self):
        cluster = self.started(engines=1)
        (engine,) = cluster.engines.values()
        engine.late_orders = [0.7, 3.0]
        name_weights(cluster, 2)
        cluster.pass_time(8)
        self.assertEqual(2, engine.version)
        self.assertEqual(1, engine.accepted)

    def test_a_command_executed_late_does_not_delay_the_next(self):
        """A command for older weights is executed just before a newer one.

        Guards against an engine that keeps version 2 for five more seconds. The
        command for version 2 has no answer and is executed just before the one
        for version 3 arrives. The engine refuses the latter, since it has
        accepted one command more than it states. The fault was to treat this
        refusal as a command in progress.
        """
        cluster = self.started(engines=1)
        (engine,) = cluster.engines.values()
        engine.late_orders = [0.5]
        name_weights(cluster, 2)
        cluster.pass_time(0.55)
        name_weights(cluster, 3)
        self.assertLess(rollout_time_s(cluster, 3, 12.0), 4.5)

    def test_a_command_lost_in_a_restart_is_sent_again(self):
        """An engine restarts while it loads, and loses the command.

        Guards against an engine that keeps the old weights for five seconds. It
        accepts the command and restarts under its id, and its report says that
        it is idle. The fault was that only a time limit decided when to send
        the command again.
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
        self.assertLess(rollout_time_s(cluster, 2, 12.0), 4.0)


class OutdatedWeightsTest(TestCase):
    """Prompts for engines whose weights were replaced before the bound."""

    def started(self, engines):
        """Returns a cluster in which one engine answers no commands."""
        cluster = GatewayCluster(desks=0, engines=engines)
        cluster.pass_time(4)
        stuck = next(iter(cluster.engines.values()))
        stuck.late_orders = [NEVER_S] * 1000
        name_weights(cluster, 2)
        return cluster, stuck

    def test_an_engine_with_outdated_weights_gets_no_prompts(self):
        """An engine answers no commands and continues to serve.

        Guards against answers made with the first weights 12.2 s after the
        second were named. The fault was that a gateway requested whatever
        weights an engine had.
        """
        cluster, stuck = self.started(engines=2)
        cluster.pass_time(12)
        before = len(stuck.ran)
        for number in range(6):
            caller = cluster.ask("/draft/x", parts=f"p{number}:2000,o:900")
            self.assertEqual(200, caller.last.status)
        self.assertEqual(before, len(stuck.ran))

    def test_without_another_engine_prompts_are_refused_at_once(self):
        cluster, _ = self.started(engines=1)
        cluster.pass_time(12)
        caller = cluster.ask("/draft/x", seconds=0.1)
        self.assertEqual(503, caller.last.status)
        self.assertIn("retry-after", caller.last.headers)

    def test_within_the_bound_prompts_are_served(self):
        cluster, _ = self.started(engines=1)
        cluster.pass_time(5)
        self.assertEqual(200, cluster.ask("/draft/x").last.status)
