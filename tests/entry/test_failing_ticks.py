"""Periodic steps of a gateway that raise, and requests that cannot be made."""

from testtools import TestCase

from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.policy.cachenamespace import cache_namespace
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines

_NAME = "evez\u0151"


def _teams(*names):
    rows = [
        {"name": name, "apiKeys": [f"key-{n}"], "isolated": True}
        for n, name in enumerate(names)
    ]
    return config(2, tenants=rows)


class FailingTickTest(TestCase):
    """One step raises at every tick."""

    def test_a_step_that_raises_keeps_no_others_back(self):
        """Guards against deadlines and registry that one fault stops."""
        lines = collect_lines(self)
        cluster = GatewayCluster()
        gateway = cluster.gateway

        def fail(now=None):
            raise LookupError("a fault of ours")

        first, *others = gateway._ticker.steps
        gateway._ticker.steps = ((first[0], fail), *others)
        (desk, *more) = cluster.desks.values()
        for one in (desk, *more):
            one.work_s = 60
        caller = cluster.ask("/read/x", seconds=4)
        self.assertEqual(504, caller.last.status)
        self.assertEqual([first[0]], gateway.failing())
        rows = {
            row["attributes"].get("task"): row["value"]
            for row in gateway.metrics.snapshot()
            if row["name"] == "task_failures"
        }
        self.assertGreater(rows[first[0]], 50)
        failed = [row for row in lines if "a fault of ours" in row]
        self.assertEqual(1, len(failed))

    def test_an_attempt_that_cannot_be_checked_is_ended(self):
        """Guards against a call that waits for ever, and holds others up."""
        cluster = GatewayCluster()
        for desk in cluster.desks.values():
            desk.work_s = 60
        sweep = HttpAttempt.sweep
        bad = cluster.send("/read/bad")
        cluster.pass_time(0.02)
        (attempt,) = cluster.gateway._in_flight

        def fail(now):
            raise LookupError("a fault of ours")

        attempt.sweep = fail
        other = cluster.send("/read/x")
        cluster.pass_time(4)
        self.assertEqual(502, bad.last.status)
        self.assertEqual(504, other.last.status)
        self.assertIs(sweep, HttpAttempt.sweep)
        self.assertEqual(set(), cluster.gateway._in_flight)


class TeamNameTest(TestCase):
    """Names of teams that are not plain ASCII."""

    def test_teams_with_any_letters_are_served(self):
        """Guards against a request that raises, and ends every tick."""
        cluster = GatewayCluster(operator=_teams(_NAME, "\u00e9", "plain"))
        for number, name in enumerate((_NAME, "\u00e9", "plain")):
            for path in ("/read/x", "/draft/x"):
                caller = cluster.ask(path, key=f"key-{number}", seconds=2)
                self.assertEqual(200, caller.last.status, (name, path))
        sent = {req.headers["x-tenant-id"] for req in cluster.seen()}
        utf8 = _NAME.encode().decode("latin-1")
        self.assertEqual({utf8, "\u00e9", "plain"}, sent)
        self.assertEqual(set(), cluster.gateway._in_flight)
        self.assertEqual([], cluster.gateway.failing())

    def test_a_request_that_cannot_be_made_ends_its_call_alone(self):
        """Guards against an attempt that every tick meets again."""
        cluster = GatewayCluster()
        start = HttpAttempt.start

        def fail(attempt, clock):
            raise LookupError("a fault of ours")

        self.patch(HttpAttempt, "start", fail)
        caller = cluster.ask("/read/x")
        self.assertEqual(502, caller.last.status)
        self.assertEqual(set(), cluster.gateway._in_flight)
        self.patch(HttpAttempt, "start", start)
        self.assertEqual(200, cluster.ask("/read/x").last.status)
        self.assertEqual(0, cluster.gateway._ticker.guard.failures.total())

    def test_a_name_that_breaks_a_header_is_refused(self):
        """Guards against headers that a team's name adds to requests."""
        lines = collect_lines(self)
        names = ("a\r\nX-Expect-Instance: i-1", "b\x85", "no\u00a0break")
        cluster = GatewayCluster(operator=_teams(*names))
        self.assertEqual(401, cluster.ask("/read/x", key="key-0").last.status)
        self.assertEqual(401, cluster.ask("/read/x", key="key-1").last.status)
        self.assertEqual(200, cluster.ask("/read/x", key="key-2").last.status)
        refused = [row for row in lines if "CONFIG_REFUSED" in row]
        self.assertEqual(2, len(refused))

    def test_two_teams_never_share_a_cache_namespace(self):
        """Guards against a team that reads another team's cache."""
        names = ("\u0161", "\u00c5\u00a1", "=c5a1", "a/m", "a", "", "=")
        models = ("m", "m/m")
        found = [cache_namespace(n, m, 1) for n in names for m in models]
        self.assertEqual(len(found), len(set(found)))
        self.assertTrue("".join(found).isascii())


class FailingAdmissionTest(TestCase):
    """Prompts that wait for memory, one of which cannot be renewed."""

    def test_a_wait_that_raises_ends_alone(self):
        """Guards against one prompt that keeps all others waiting."""
        cluster = GatewayCluster(desks=1, engines=1)
        cluster.pass_time(1)
        (engine,) = cluster.engines.values()
        engine.work_s, engine.gap_s = 0.01, 0.3
        parts, tokens = "aa:20000,o{}:40000", "60000,100"
        callers = []
        for number in range(4):
            row = parts.format(number)
            callers.append(cluster.send("/draft/x", parts=row, tokens=tokens))
            cluster.pass_time(0.1)
        client = cluster.gateway.owners.admission_client
        bad, *_ = client._rows.values()

        def fail():
            raise LookupError("a fault of ours")

        bad.refusal = fail
        cluster.pass_time(16)
        statuses = [caller.last.status for caller in callers]
        self.assertEqual(1, statuses.count(503), statuses)
        self.assertEqual(3, statuses.count(200), statuses)
        self.assertGreater(client.guard.failures["admission renewal"], 1)
        self.assertEqual({}, client._rows)

    def test_a_queue_that_raises_keeps_no_others_back(self):
        """Guards against one engine's queue that stops all grants."""
        cluster = GatewayCluster(desks=1, engines=2)
        cluster.pass_time(1)
        queues = cluster.gateway.owners.admission_queues
        for engine in cluster.engines.values():
            engine.work_s, engine.gap_s = 0.01, 0.1
        grant = queues._grant
        broken = next(iter(cluster.engines))

        def fail(ledger, now):
            if ledger.endpoint == broken:
                raise LookupError("a fault of ours")
            grant(ledger, now)

        queues._grant = fail
        for number in range(8):
            row = f"aa:20000,o{number}:40000"
            cluster.send("/draft/x", parts=row, tokens="60000,100")
            cluster.pass_time(0.05)
        self.assertGreater(queues.waiting, 0)
        cluster.pass_time(6)
        self.assertGreater(queues.guard.failures["admission grant"], 0)
        healthy = [e for n, e in cluster.engines.items() if n != broken]
        self.assertGreater(len(healthy[0].ran), 2)
