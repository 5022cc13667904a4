"""Long prompts that wait until an engine has memory for them."""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster, config

# Two of these fill an engine of 140,000 tokens.
LONG = "aa:20000,{}:40000"
TOKENS = "60000,100"


class AdmissionTest(TestCase):
    """One engine, and more long prompts than its memory holds."""

    def started(self, gap_s, target_ms=400):
        """Returns a cluster whose engine writes four events in such gaps."""
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
        """Sends a long prompt, and lets it be read."""
        parts = LONG.format(f"o{number}")
        caller = cluster.send("/draft/x", parts=parts, tokens=TOKENS)
        cluster.pass_time(0.1)
        return caller

    def test_one_that_does_not_fit_waits_for_its_turn(self):
        """Engines push prompts out that they have begun to write.

        Symptom: streams stop in their middle for seconds, and engines read
        the same prompts again and again while their memory is full. Sequence:
        more prompts are sent than fit, the newest is pushed out and read
        again, all are written more slowly and hold their memory for longer.
        Cause: memory was only a cost among others.
        """
        cluster, engine = self.started(gap_s=0.1)
        callers = [self.send(cluster, n) for n in range(3)]
        self.assertEqual(2, len(engine.ran))
        cluster.pass_time(1)
        self.assertEqual(3, len(engine.ran))
        self.assertEqual([200] * 3, [c.last.status for c in callers])

    def test_one_waits_while_an_engine_has_much_to_read(self):
        """An engine that has just come back gets everything that waited.

        Symptom: prompts that were sent to an idle engine have their first
        event after 3 s, while others have become free. Cause: an empty memory
        was all that was asked for.
        """
        cluster, engine = self.started(gap_s=0.01)
        engine.work_s = 0.5
        self.send(cluster, 0)
        self.send(cluster, 1)
        self.assertEqual(1, len(engine.ran))
        cluster.pass_time(1)
        self.assertEqual(2, len(engine.ran))

    def test_nobody_else_waits_behind_them(self):
        """Others are held up, or refused, while long prompts wait.

        Symptom: bookings are refused for want of an engine's memory. Cause:
        whoever came while somebody waited was made to wait as well.
        """
        cluster, engine = self.started(gap_s=1)
        for number in range(3):
            self.send(cluster, number)
        self.assertEqual(1, cluster.gateway.owners.admission_client.waiting)
        cluster.send("/draft/x", parts="bb:500,o:100", tokens="600,10")
        caller = cluster.ask("/book/x", 0.05, deadline_ms=900)
        self.assertEqual(3, len(engine.ran))
        self.assertEqual(200, caller.last.status)

    def test_nobody_takes_the_room_that_a_large_one_waits_for(self):
        """Small prompts fill whatever room an engine gets.

        Symptom: of the largest tenth of the prompts hardly any is served.
        Cause: whoever fitted went ahead of the one that came first.
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

    def test_who_waits_in_vain_is_refused_and_may_come_back(self):
        cluster, engine = self.started(gap_s=1.2)
        callers = [self.send(cluster, n) for n in range(3)]
        cluster.pass_time(2.2)
        last = callers[2].last
        self.assertEqual(503, last.status)
        self.assertIn("retry-after", last.headers)
        self.assertEqual(2, len(engine.ran))

    def test_who_leaves_makes_room_for_the_next(self):
        cluster, engine = self.started(gap_s=0.2)
        callers = [self.send(cluster, n) for n in range(4)]
        callers[2].pipe.loseConnection()
        cluster.pass_time(1.5)
        self.assertNotIn(callers[2].request_id, engine.ran)
        self.assertIn(callers[3].request_id, engine.ran)
        self.assertEqual(0, cluster.gateway.owners.admission_client.waiting)
        self.assertEqual(0, cluster.gateway.owners.admission_queues.waiting)

    def test_a_prompt_larger_than_any_memory_goes_to_an_idle_engine(self):
        cluster, engine = self.started(gap_s=0.1)
        cluster.send("/draft/x", parts="aa:150000,o:1000", tokens="151000,9")
        cluster.pass_time(0.5)
        self.assertEqual(1, len(engine.ran))

    def test_what_callers_allow_is_not_what_answers_take(self):
        """Engines are believed full with a fifth of their memory free.

        Symptom: long prompts wait while engines have room. Cause: each
        request was taken to need all the tokens that its caller allows for,
        two to three times what answers have.
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
