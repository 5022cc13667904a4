"""Engines that crash before any prompt is answered after a restart."""

from testtools import TestCase

from tests.entry.test_poison_parts import PartTraffic

_ENGINES = 10
_FIRST_EVENT_S = 1.8
# Far more gateways than own a service.
_FLEET = 24
# Times after the restart; more than a fault's window apart.
_CRASHES_AT_S = (0.25, 0.55, 0.85)
_RECOVERY_S = 15.0


class CrashesAfterRestartTest(TestCase):
    """No gateway remembers an answer, and all prompts share a part."""

    def test_a_part_that_all_prompts_share_is_served(self):
        """Guards against a route that three crashes close for good."""
        for seed in range(3):
            traffic = PartTraffic("/draft/", dead=(), engines=_ENGINES)
            cluster = traffic.setup.cluster
            self.crash_after_restart(traffic, seed)
            traffic.run(_RECOVERY_S, sound_every=2, poison_every=0)
            self.slow_down(cluster)
            since = traffic.setup.now
            traffic.run(5, sound_every=2, poison_every=0)
            cluster.pass_time(5)
            self.assertEqual(set(), traffic.patterns())
            self.assertGreaterEqual(traffic.served_share(since), 0.9)

    def crash_after_restart(self, traffic, seed):
        """Restarts all gateways; engines crash before the first answers."""
        traffic.setup.random.seed(seed)
        self.slow_down(traffic.setup.cluster)
        traffic.run(6, sound_every=1, poison_every=0)
        traffic.restart_gateways()
        begun = traffic.setup.now
        for at in _CRASHES_AT_S:
            left = begun + at - traffic.setup.now
            traffic.run(left, sound_every=1, poison_every=0)
            self.crash_busiest(traffic.setup)
        traffic.run(3, sound_every=2, poison_every=0)

    def test_it_is_served_by_a_fleet_whose_owners_see_little_of_it(self):
        """Guards against a verdict from what one gateway alone has sent."""
        vms = tuple(f"front-{number}" for number in range(1, _FLEET + 1))
        for seed in range(3):
            traffic = PartTraffic("/draft/", dead=(), engines=_ENGINES, vms=vms)
            self.crash_after_restart(traffic, seed)
            self.assertEqual(set(), traffic.patterns())

    def slow_down(self, cluster):
        """Makes all engines read a prompt for long."""
        for engine in cluster.engines.values():
            engine.work_s = _FIRST_EVENT_S

    def crash_busiest(self, setup):
        """Crashes the engine with the most prompts in progress."""
        cluster = setup.cluster
        running = [
            engine
            for engine in cluster.engines.values()
            if cluster.net.servers.get(engine.address) is engine
        ]
        setup.crash(
            max(
                running,
                key=lambda engine: sum(
                    conn.current is not None for conn in engine.open
                ),
            )
        )
