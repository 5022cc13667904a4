"""Tests of large prompts that queue until an engine has memory."""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines

# Two of these fill an engine of 140,000 tokens.
LONG = "aa:20000,{}:40000"
TOKENS = "60000,100"


class AdmissionTest(TestCase):
    """One engine, and more large prompts than its memory holds."""

    def started(self, gap_s, target_ms=400):
        """Returns a cluster and its engine, which pauses `gap_s` per event."""
        operator = config()
        for row in operator["routes"]:
            row["targetLatencyMs"] = target_ms
        cluster = GatewayCluster(desks=1, engines=1, operator=operator)
        cluster.pass_time(1)
        (engine,) = cluster.engines.values()
        engine.work_s = 0.01
        engine.gap_s = gap_s
        return cluster, engine

    def send(self, cluster, number):
        """Sends a large prompt and lets the engine read it."""
        parts = LONG.format(f"o{number}")
        caller = cluster.send("/draft/x", parts=parts, tokens=TOKENS)
        cluster.pass_time(0.1)
        return caller

    def test_prompt_that_does_not_fit_is_queued(self):
        """Guards against engines that evict prompts they are answering.

        If more prompts are sent than fit, the engine evicts the newest and
        reads it again; streams pause for seconds, all answers are slower and
        hold their memory for longer. Memory was only one of several costs.
        """
        cluster, engine = self.started(gap_s=0.1)
        callers = [self.send(cluster, n) for n in range(3)]
        self.assertEqual(2, len(engine.ran))
        cluster.pass_time(1)
        self.assertEqual(3, len(engine.ran))
        self.assertEqual([200] * 3, [c.last.status for c in callers])

    def test_prompt_is_queued_at_an_engine_that_limits_its_requests(self):
        """Guards against a request limit that lets prompts pass the queue."""
        cluster, engine = self.started(gap_s=0.1)
        engine.send_limit = 1000
        callers = [self.send(cluster, n) for n in range(3)]
        self.assertEqual(2, len(engine.ran))
        cluster.pass_time(1)
        self.assertEqual(3, len(engine.ran))
        self.assertEqual([200] * 3, [c.last.status for c in callers])

    def test_prompt_is_queued_while_an_engine_has_long_prefill_queue(self):
        """Guards against one engine that gets all queued prompts.

        An engine that had just come back got every queued prompt, because only
        its free memory was checked. Their first events came after 3 s, while
        other engines had become free.
        """
        cluster, engine = self.started(gap_s=0.01)
        engine.work_s = 0.5
        self.send(cluster, 0)
        self.send(cluster, 1)
        self.assertEqual(1, len(engine.ran))
        cluster.pass_time(1)
        self.assertEqual(2, len(engine.ran))

    def test_other_requests_do_not_queue_behind_large_prompts(self):
        """Guards against queueing requests that need no admission.

        Every request that arrived while a large prompt was queued had to queue
        as well, and bookings were refused for lack of an engine's memory.
        """
        cluster, engine = self.started(gap_s=1)
        for number in range(3):
            self.send(cluster, number)
        self.assertEqual(1, cluster.gateway.owners.admission_client.waiting)
        cluster.send("/draft/x", parts="bb:500,o:100", tokens="600,10")
        caller = cluster.ask("/book/x", 0.05, deadline_ms=900)
        self.assertEqual(3, len(engine.ran))
        self.assertEqual(200, caller.last.status)

    def test_smaller_prompts_do_not_starve_a_queued_large_one(self):
        """Guards against starvation of the largest prompts.

        Any prompt that fitted overtook the one that was queued first, so hardly
        any of the largest tenth of the prompts was served.
        """
        cluster, engine = self.started(gap_s=0.2, target_ms=2000)
        for number in range(2):
            self.send(cluster, number)
        large = self.send(cluster, 9)
        small = [
            cluster.send("/draft/x", parts="aa:10000,p:1000", tokens="11000,9")
            for _ in range(3)
        ]
        cluster.pass_time(0.15)
        self.assertEqual(2, len(engine.ran))
        cluster.pass_time(2)
        self.assertEqual(large.request_id, list(engine.ran)[2])
        self.assertEqual(200, large.last.status)
        self.assertEqual([200] * 3, [c.last.status for c in small])

    def test_prompt_that_cannot_meet_its_deadline_is_refused(self):
        cluster, engine = self.started(gap_s=1.2)
        callers = [self.send(cluster, n) for n in range(3)]
        cluster.pass_time(2.2)
        last = callers[2].last
        self.assertEqual(503, last.status)
        self.assertIn("retry-after", last.headers)
        self.assertEqual(2, len(engine.ran))

    def metrics(self, cluster, name):
        """Returns the rows of a metric, by their labels."""
        return {
            tuple(row["attributes"].values()): row
            for row in cluster.gateway.metrics.snapshot()
            if row["name"] == name
        }

    def test_why_a_prompt_goes_ahead_is_logged_and_counted(self):
        """A refused caller returns while the engine is still full."""
        lines = collect_lines(self)
        cluster, _ = self.started(gap_s=1.2)
        callers = [self.send(cluster, n) for n in range(3)]
        cluster.pass_time(2.2)
        self.assertEqual(503, callers[2].last.status)
        again = self.send(cluster, 2)
        cluster.pass_time(4)
        self.assertEqual(200, again.last.status)
        (placed,) = [
            line
            for line in lines
            if '"PLACED"' in line and f'"{again.request_id}"' in line
        ]
        self.assertIn('"lead_reason":"returned"', placed)
        waits = self.metrics(cluster, "admission_wait_seconds")
        self.assertEqual(2, waits["draft",]["count"])
        led = self.metrics(cluster, "admissions_led")
        self.assertEqual(1, led["returned",]["value"])

    def test_cancelled_prompt_leaves_the_queue(self):
        cluster, engine = self.started(gap_s=0.2)
        callers = [self.send(cluster, n) for n in range(4)]
        callers[2].pipe.loseConnection()
        cluster.pass_time(1.5)
        self.assertNotIn(callers[2].request_id, engine.ran)
        self.assertIn(callers[3].request_id, engine.ran)
        self.assertEqual(0, cluster.gateway.owners.admission_client.waiting)
        self.assertEqual(0, cluster.gateway.owners.admission_queues.waiting)

    def test_prompt_larger_than_any_memory_goes_to_an_idle_engine(self):
        cluster, engine = self.started(gap_s=0.1)
        cluster.send("/draft/x", parts="aa:150000,o:1000", tokens="151000,9")
        cluster.pass_time(0.5)
        self.assertEqual(1, len(engine.ran))

    def test_memory_estimate_uses_the_length_hint(self):
        """Guards against queueing while an engine has enough memory.

        Each request was assumed to need all the tokens that its caller allows,
        two to three times what answers have. Engines with a fifth of their
        memory free counted as full.
        """
        cluster, engine = self.started(gap_s=1)
        for number in range(2):
            cluster.send(
                "/draft/x",
                parts=LONG.format(f"o{number}"),
                tokens="60000,40000",
                headers=["X-Length-Hint: 300"],
            )
            cluster.pass_time(0.1)
        self.assertEqual(2, len(engine.ran))
