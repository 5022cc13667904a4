"""Requests that outlast the grace period of a planned stop."""

import msgspec
from testtools import TestCase
from twisted.internet.defer import ensureDeferred

from magnolialug.entry.hedging import Hedging
from magnolialug.standin.caller import request
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines

GRACE_S = 8.0
_LONG_S = 12.0
_TIMEOUT_MS = 15_000
_SERVED = 200
_NOT_RUN = 503
_UNKNOWN = 502


class StopAnswersTest(TestCase):
    """Each has a true answer before the process ends."""

    def setUp(self):
        super().setUp()
        self.operator = operator = config()
        for row in operator["routes"]:
            row["timeoutMs"] = row["targetLatencyMs"] = _TIMEOUT_MS
        self.cluster = GatewayCluster(desks=2, engines=1, operator=operator)
        for desk in self.cluster.desks.values():
            desk.work_s = _LONG_S

    def stop(self):
        """Starts a stop; returns the list that receives when it has ended."""
        ended = []
        fut = ensureDeferred(self.cluster.gateway.stop())
        net = self.cluster.net
        fut.addCallback(lambda left: ended.append(net.seconds()))
        self.began = net.seconds()
        return ended

    def check_ended(self, ended):
        self.cluster.pass_time(GRACE_S)
        self.assertEqual(1, len(ended))
        self.assertLess(ended[0] - self.began, GRACE_S)

    def send(self, path, **options):
        return self.cluster.send(path, deadline_ms=20_000, **options)

    def test_requests_at_endpoints_are_answered_as_unknown(self):
        """Guards against resets of what was taken before the signal."""
        callers = [self.send("/book/x", body=b"x"), self.send("/read/x")]
        self.cluster.pass_time(2)
        ended = self.stop()
        self.check_ended(ended)
        for caller in callers:
            self.assertTrue(caller.last.whole)
            self.assertEqual(_UNKNOWN, caller.last.status)
            self.assertNotIn("retry-after", caller.last.headers)
            self.assertEqual("close", caller.last.headers["connection"])
            self.assertLess(caller.last.at, ended[0])
        booker = callers[0]
        self.assertEqual(1, self.cluster.ran(booker.request_id))

    def test_a_prompt_that_still_waits_is_refused_as_not_run(self):
        """Guards against a request that is never sent and never answered."""
        (engine,) = self.cluster.engines.values()
        engine.work_s, engine.gap_s = 0.01, _LONG_S
        self.cluster.pass_time(1)
        callers = []
        for number in range(3):
            prompt = {"parts": f"o{number}:60000", "tokens": "60000,100"}
            callers.append(self.send("/draft/x", **prompt))
            self.cluster.pass_time(0.1)
        waiting = callers[-1]
        self.check_ended(self.stop())
        self.assertEqual(_NOT_RUN, waiting.last.status)
        self.assertTrue(waiting.last.whole)
        self.assertIn("retry-after", waiting.last.headers)
        self.assertEqual(0, self.cluster.ran(waiting.request_id))

    def test_a_request_without_its_end_is_refused_as_not_run(self):
        """Guards against a body whose rest comes after the process."""
        caller = self.cluster.caller()
        data = request("/book/x", "half", body=b"x" * 1000)
        caller.pipe.write(data[:-1])
        self.cluster.pass_time(0.5)
        self.check_ended(self.stop())
        self.assertEqual(_NOT_RUN, caller.last.status)
        self.assertEqual(0, self.cluster.ran("half"))

    def test_a_grace_period_that_shrinks_leaves_time_for_answers(self):
        """Guards against settings that end the process before its answers."""
        caller = self.send("/book/x", body=b"x")
        self.cluster.pass_time(1)
        ended = self.stop()
        self.cluster.pass_time(4)
        gateway = self.cluster.gateway
        bounds = msgspec.structs.replace(gateway.settings.bounds, grace_s=3.0)
        gateway.reload(msgspec.structs.replace(gateway.settings, bounds=bounds))
        self.cluster.pass_time(1)
        self.assertEqual(1, len(ended))
        self.assertEqual(_UNKNOWN, caller.last.status)
        self.assertTrue(caller.last.whole)

    def test_a_retry_late_in_the_grace_is_answered(self):
        """Guards against a second attempt that outlasts the process."""
        caller = self.send("/read/x")
        self.cluster.pass_time(0.5)
        ended = self.stop()
        self.cluster.pass_time(6.8)
        for desk in self.cluster.desks.values():
            for conn in list(desk.open):
                if conn.current is not None:
                    conn.transport.abortConnection()
        self.check_ended(ended)
        self.assertEqual(2, self.cluster.ran(caller.request_id))
        self.assertEqual(_UNKNOWN, caller.last.status)
        self.assertTrue(caller.last.whole)

    def test_requests_are_answered_beside_a_release_and_a_change(self):
        """Guards against a stop that other planned work disturbs."""
        callers = [self.send("/book/x", body=b"x") for _ in range(4)]
        self.cluster.pass_time(0.5)
        ended = self.stop()
        for version, desk in enumerate(list(self.cluster.desks.values()), 2):
            self.cluster.relist(desk, state="draining")
            self.cluster.add_desk()
            self.cluster.configure({**self.operator, "version": version})
            self.cluster.pass_time(1)
        callers += [self.send("/book/x", body=b"x") for _ in range(4)]
        self.check_ended(ended)
        statuses = [caller.last.status for caller in callers]
        self.assertEqual([_UNKNOWN] * 4 + [_SERVED] * 4, statuses)
        self.assertTrue(all(caller.last.whole for caller in callers))

    def test_a_fault_at_the_end_is_logged(self):
        """Guards against an exception that the last answer hides."""

        def fail(hedging):
            raise LookupError("a fault of ours")

        lines = collect_lines(self)
        caller = self.send("/read/x")
        self.cluster.pass_time(0.5)
        ended = self.stop()
        self.patch(Hedging, "stop", fail)
        self.check_ended(ended)
        self.assertEqual(_UNKNOWN, caller.last.status)
        (line,) = [row for row in lines if "TASK_FAILED" in row]
        self.assertIn("LookupError", line)

    def test_a_stream_that_has_begun_is_not_answered_anew(self):
        """Guards against an error inside a stream."""
        for engine in self.cluster.engines.values():
            engine.events, engine.gap_s = 60, 0.25
        caller = self.cluster.send("/draft/x", deadline_ms=20_000)
        self.cluster.pass_time(1)
        self.check_ended(self.stop())
        self.assertEqual(200, caller.last.status)
        self.assertFalse(caller.last.whole)
