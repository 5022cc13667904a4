"""Long-lived tasks that fail, and the gateway's view of them."""

from testtools import TestCase
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from magnolialug.entry.rolloutlease import LEADER_KEY
from magnolialug.events import Event
from magnolialug.prefixcache.storepoller import StorePoller
from magnolialug.supervisedtask import SupervisedTask
from magnolialug.timing import sleep
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines


class SupervisedTaskTest(TestCase):
    """A task on a virtual clock."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.begun = 0
        self.lives_s = 0.0
        self.lines = collect_lines(self)
        self.task = SupervisedTask("watch", self._run, self.clock)
        self.addCleanup(self.task.stop)

    async def _run(self):
        self.begun += 1
        await sleep(self.clock, self.lives_s)
        raise LookupError("a fault of ours")

    def pass_time(self, seconds):
        """Lets time pass."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def test_a_task_that_fails_begins_again(self):
        """Guards against a task that ends without anybody noticing."""
        self.lives_s = 1.0
        self.task.start()
        self.pass_time(1.01)
        self.assertTrue(self.task.is_down)
        self.assertEqual(1, self.task.failures)
        (line,) = [row for row in self.lines if "TASK_FAILED" in row]
        self.assertIn("a fault of ours", line)
        self.assertIn('"task":"watch"', line)
        self.pass_time(0.2)
        self.assertFalse(self.task.is_down)
        self.assertEqual(2, self.begun)

    def test_a_task_that_always_fails_is_tried_once_a_second(self):
        """Guards against a loop that takes all of the processor."""
        self.task.start()
        self.pass_time(10)
        self.assertIn(self.begun, range(10, 16))

    def test_a_failure_after_a_long_run_counts_as_the_first(self):
        self.task.start()
        self.pass_time(5)
        self.lives_s = 20.0
        self.pass_time(22)
        before = self.begun
        self.pass_time(0.2)
        self.assertEqual(before, self.begun)
        self.lives_s = 0.0
        while not self.task.is_down:
            self.pass_time(0.01)
        self.pass_time(0.15)
        self.assertGreater(self.begun, before)

    def test_a_task_that_returns_begins_again(self):
        """Guards against an early return, which ends a task as well."""

        async def run():
            self.begun += 1

        task = SupervisedTask("short", run, self.clock)
        task.start()
        self.pass_time(0.5)
        task.stop()
        self.assertGreater(self.begun, 1)

    def test_a_stopped_task_does_not_begin_again(self):
        for lives_s in (0.0, 5.0):
            self.lives_s = lives_s
            self.task.start()
            self.pass_time(0.05)
            self.task.stop()
            begun = self.begun
            self.pass_time(10)
            self.assertEqual(begun, self.begun)


class GatewayTasksTest(TestCase):
    """Tasks of a gateway that fail."""

    def test_a_watch_that_fails_shows_and_begins_again(self):
        """Guards against a gateway that is ready and applies nothing."""
        lines = collect_lines(self)
        cluster = GatewayCluster()
        gateway = cluster.gateway
        watch = gateway._watch_client
        apply = watch._apply

        def fail(found):
            watch._apply = apply
            raise LookupError("a fault of ours")

        watch._apply = fail
        cluster.configure(config(2))
        cluster.pass_time(0.05)
        self.assertFalse(gateway.ready())
        self.assertEqual(["watch"], gateway.failing())
        rows = {
            (row["name"], row["attributes"].get("task")): row.get("value")
            for row in gateway.metrics.snapshot()
        }
        self.assertEqual(1, rows["task_failures", "watch"])
        self.assertEqual(1, rows["task_down", "watch"])
        failed = [row for row in lines if Event.TASK_FAILED.name in row]
        self.assertEqual(1, len(failed))
        cluster.pass_time(1)
        self.assertTrue(gateway.ready())
        self.assertEqual([], gateway.failing())
        self.assertEqual(2, gateway.routes.version)

    def test_a_poller_that_fails_polls_again(self):
        """Guards against a store that is never asked again."""
        cluster = GatewayCluster()
        cluster.add_store()
        (poller,) = cluster.gateway.prefix_cache.store_pollers.pollers.values()
        handle = StorePoller._handle_reply

        async def fail(*_):
            raise LookupError("a fault of ours")

        poller._handle_reply = fail
        cluster.pass_time(3)
        self.assertTrue(cluster.gateway.ready())
        poller._handle_reply = handle.__get__(poller)
        cluster.pass_time(3)
        now = cluster.net.seconds()
        self.assertLess(now - poller.index.last_contact_at, 1.5)

    def test_a_rollout_goes_on_after_a_report_that_raised(self):
        """Guards against an engine that is never commanded again."""
        cluster = GatewayCluster()
        cluster.pass_time(5)
        commands = cluster.gateway._rollout_commands
        poll = commands._poll

        async def fail(peer):
            commands._poll = poll
            raise LookupError("a fault of ours")

        commands._poll = fail
        cluster.write("op/version/m", {"model": "m", "version": 2})
        cluster.pass_time(8)
        versions = {engine.version for engine in cluster.engines.values()}
        self.assertEqual({2}, versions)

    def test_a_leader_whose_task_fails_stops_commanding(self):
        """Guards against a leader that no longer renews its lease."""
        cluster = GatewayCluster()
        cluster.pass_time(5)
        lease = cluster.gateway._lease
        self.assertTrue(lease.held)
        keep = cluster.kv.keep

        async def fail(number):
            cluster.kv.keep = keep
            raise LookupError("a fault of ours")

        cluster.kv.keep = fail
        for _ in range(300):
            cluster.pass_time(0.01)
            if lease.task.failures:
                break
        cluster.pass_time(0.2)
        self.assertFalse(lease.held)
        cluster.pass_time(8)
        self.assertTrue(lease.held)

    def test_a_write_that_ends_after_a_step_down_makes_no_leader(self):
        """Guards against a leader that holds no lease, and closes engines."""
        for is_stopped in (False, True):
            cluster = GatewayCluster()
            cluster.pass_time(5)
            lease = cluster.gateway._lease
            put_if = cluster.kv.put_if
            answers = []

            async def wait(key, *rest, put_if=put_if, answers=answers):
                swap = await put_if(key, *rest)
                if key == LEADER_KEY:
                    answers.append(Deferred())
                    await answers[-1]
                return swap

            cluster.kv.put_if = wait
            cluster.write("op/version/m", {"model": "m", "version": 2})
            cluster.pass_time(1)
            cluster.kv.put_if = put_if
            self.assertEqual(1, len(answers))
            if is_stopped:
                ensureDeferred(lease.stop())
            else:
                lease.step_down()
            answers[0].callback(None)
            self.assertFalse(lease.held)
            self.assertEqual(0, lease.fence)
