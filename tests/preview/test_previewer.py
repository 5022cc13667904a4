"""Previews of a gateway that is busy, restricted or cut off.

They guard against an explanation that does not hold: the request itself goes
elsewhere, waits or is refused.
"""

import msgspec
from testtools import TestCase

from magnolialug.policy.partpattern import PartPattern
from magnolialug.preview.explanation import Basis, Outcome, Refusal
from magnolialug.preview.rendering import as_lines
from magnolialug.quarantine.messages import Quarantined
from magnolialug.result import Code, Failure
from tests.eventgaps.test_answers import routes
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines
from tests.preview.asking import PROMPT, begin, preview

READ = {"route": "read", "team": "team-a"}
# Two of these fill an engine of 140,000 tokens.
LONG = {
    **PROMPT,
    "input": 60000,
    "output": 100,
    "parts": "aa:20000,o9:40000",
}
VMS = ("front-1", "front-2")


class PreviewCase(TestCase):
    """A cluster, and what its first gateway says."""

    def start(self, **options):
        """Starts a cluster that has settled."""
        self.cluster = GatewayCluster(**options)
        self.cluster.pass_time(2)

    def ask(self, **request):
        """Returns the explanation, which must read as text and JSON too."""
        found = preview(self.cluster, **request)
        if not isinstance(found, Failure):
            self.text = "\n".join(as_lines(found))
            data = msgspec.json.encode(found)
            self.assertEqual(found, msgspec.json.decode(data, type=type(found)))
            for key in (b"key-a", b"key-b"):
                self.assertNotIn(key, data)
        return found

    def refusal(self, **request):
        """Returns the code of a request that would be refused."""
        found = self.ask(**request)
        self.assertEqual(Outcome.REFUSED, found.outcome)
        self.assertIn(found.refusal.name, self.text)
        return Code(found.refusal.code)


class ChoiceTest(PreviewCase):
    """Endpoints that take requests."""

    def placed(self, path, **options):
        """Sends a request; returns where it was placed, and the costs."""
        self.lines.clear()
        self.cluster.send(path, **options)
        self.cluster.pass_time(0.03)
        rows = [msgspec.json.decode(str(line)) for line in self.lines]
        (row,) = [row for row in rows if row["name"] == "PLACED"]
        return row["endpoint"], sorted(map(tuple, row["costs"]))

    def said(self, **request):
        """Returns the same from a preview."""
        found = self.ask(**request)
        self.assertEqual(Outcome.SENT, found.outcome)
        self.assertIs(Basis.OWNERS, found.basis)
        costs = [
            (row.endpoint, round(row.candidate["cost"], 4), True)
            for row in found.compared
        ]
        return found.endpoint, sorted(costs)

    def test_a_prompt_goes_where_its_preview_said(self):
        """Guards against a preview that decides otherwise than requests."""
        self.lines = collect_lines(self)
        self.start(engines=8, vms=VMS)
        self.cluster.add_store()
        for number in range(12):
            parts = f"a{number % 5}:1000,b{number}:500,o{number}:500"
            said = self.said(**{**PROMPT, "parts": parts})
            placed = self.placed("/draft/x", parts=parts, tokens="2000,100")
            self.assertEqual(said, placed)
            self.cluster.pass_time(1)

    def test_a_plain_request_goes_where_its_preview_said(self):
        self.lines = collect_lines(self)
        self.start(desks=6)
        for number in range(12):
            request_id = f"r{number}"
            said = self.said(**READ, request=request_id)
            placed = self.placed("/read/x", request_id=request_id)
            self.assertEqual(said, placed)

    def test_the_load_of_other_gateways_is_shown(self):
        """Guards against a preview by the gateway's own requests alone."""
        self.start(engines=1, vms=VMS)
        (engine,) = self.cluster.engines.values()
        engine.work_s = engine.gap_s = 0.5
        caller = self.cluster.caller(("10.0.0.2", 80))
        self.cluster.send(
            "/draft/x", caller=caller, parts="aa:1000,o1:9000", tokens="10000,9"
        )
        self.cluster.pass_time(0.1)
        (row,) = self.ask(**PROMPT).compared
        self.assertEqual(1, row.running)
        self.assertEqual(10000, sum(row.pending_prefill))
        self.assertGreater(row.held_share, 0.07)
        self.assertEqual(1, row.cached_parts)
        self.assertEqual(1000, row.unread)
        self.assertEqual(("aa", "engine"), row.sources[0])

    def test_why_an_engine_does_not_start_a_prompt_soon_is_shown(self):
        """Guards against a wait for streams that nobody can tell from load."""
        self.start(desks=0, engines=1, operator=config(routes=routes()))
        (engine,) = self.cluster.engines.values()
        engine.gap_s = 3.0
        request = {**LONG, "route": "check"}
        (row,) = self.ask(**request).compared
        self.assertTrue(row.keeps_pauses)
        self.assertIn("pauses of its streams hold", self.text)
        self.cluster.send("/check/x", parts="aa:100,o1:100", tokens="200,9")
        self.cluster.pass_time(0.5)
        engine.work_s = 5.0
        self.cluster.send("/check/x", parts="aa:100,o2:19900", tokens="20000,9")
        self.cluster.pass_time(0.1)
        (peer,) = self.cluster.gateway.directory.peers.values()
        (row,) = self.ask(**request).compared
        self.assertFalse(row.keeps_pauses)
        self.assertEqual(round(peer.load.measured_rate), row.tokens_per_s)
        self.assertIn(f"reads {row.tokens_per_s} tokens/s", self.text)
        self.assertIn("pauses of its streams would not hold", self.text)

    def test_an_endpoint_to_avoid_is_passed_over(self):
        self.start(desks=2)
        first = self.ask(**READ).endpoint
        other = self.ask(**READ, avoid=first)
        self.assertNotEqual(first, other.endpoint)
        self.assertEqual([first], [row.endpoint for row in other.passed_over])

    def test_priority_and_team_are_those_of_the_request(self):
        self.start()
        self.assertEqual(1, self.ask(**READ).priority)
        self.assertEqual(4, self.ask(route="read", team="team-b").priority)
        self.assertEqual(7, self.ask(**READ, priority=7).priority)

    def test_a_host_and_path_find_their_route(self):
        self.start()
        found = self.ask(host="h.example", path="/read/x", team="team-a")
        self.assertEqual("read", found.route)

    def test_few_of_many_endpoints_are_compared(self):
        """Guards against previews that hold up a gateway of a large fleet."""
        self.start(desks=0, engines=120)
        now = self.cluster.net.seconds()
        for peer in self.cluster.gateway.directory.peers.values():
            peer.closed_until = now + 9
        found = self.ask(**PROMPT)
        self.assertEqual(24, len(found.compared))
        self.assertIn("none is sound", found.reason)
        self.assertIn("first 24", self.text)


class WaitTest(PreviewCase):
    """One engine whose memory is full."""

    def test_a_prompt_that_would_wait_names_its_queues(self):
        """Guards against a preview that names an engine without room."""
        self.start(engines=1)
        (engine,) = self.cluster.engines.values()
        engine.work_s, engine.gap_s = 0.01, 0.5
        for number in range(2):
            parts = f"aa:20000,o{number}:40000"
            self.cluster.send("/draft/x", parts=parts, tokens="60000,100")
            self.cluster.pass_time(0.1)
        found = self.ask(**LONG)
        self.assertEqual(Outcome.WAITS, found.outcome)
        (queue,) = found.queues
        self.assertEqual(
            (engine.instance, 60100), (queue.endpoint, queue.tokens)
        )
        self.assertEqual(0.1, found.queued_work_s)
        self.assertFalse(found.compared[0].candidate["room"])
        self.assertIn(f"queue of {engine.instance}", self.text)


class RefusalTest(PreviewCase):
    """Requests that no endpoint would get."""

    def test_an_early_refusal_is_that_of_the_intake(self):
        self.start()
        self.assertIs(
            Code.UNKNOWN_PATH, self.refusal(host="h.example", path="/none/x")
        )
        self.assertIs(Code.UNKNOWN_PATH, self.refusal(route="none"))
        self.assertIs(
            Code.UNKNOWN_TEAM, self.refusal(route="read", team="team-x")
        )
        self.assertIs(Code.UNAUTHENTICATED, self.refusal(route="read"))

    def test_a_quarantined_request_is_refused(self):
        """Guards against a preview that overlooks the quarantine."""
        self.start(engines=2)
        listed = self.cluster.gateway.quarantine.quarantined
        listed.add(Quarantined("d-1", ("i-1", "i-2"), 60_000))
        self.assertIs(Code.QUARANTINED, self.refusal(**READ, digest="d-1"))
        pattern = PartPattern("llm", "", ("bb",))
        listed.add(Quarantined(pattern.digest, ("i-1",), 0, pattern))
        self.assertIs(Code.QUARANTINED, self.refusal(**PROMPT))
        self.assertIn("no digest", self.text)

    def test_an_evacuated_service_is_refused(self):
        self.start()
        self.cluster.write("op/evacuate/a", b"{}")
        self.cluster.pass_time(0.5)
        self.assertIs(Code.EVACUATED, self.refusal(**READ))

    def test_resting_endpoints_are_passed_over(self):
        self.start(desks=1)
        (desk,) = self.cluster.desks.values()
        desk.refuses, desk.rest = True, 5.0
        self.cluster.ask("/read/x", 0.5)
        self.assertIs(Code.RESTING, self.refusal(**READ))

    def test_cold_endpoints_are_passed_over(self):
        base = config()
        cold = {"coldStartS": 3.0, "coldPerS": 0.5}
        desk = {**base["services"][0], **cold}
        self.start(
            desks=1, operator=config(services=[desk, *base["services"][1:]])
        )
        (peer,) = (
            peer
            for peer in self.cluster.gateway.directory.peers.values()
            if peer.load is None
        )
        peer.cold.assume_cold(self.cluster.net.seconds(), 30.0)
        self.cluster.ask("/read/x", 0.5)
        self.assertIs(Code.COLD, self.refusal(**READ))

    def test_limited_endpoints_are_passed_over(self):
        self.start(desks=1)
        (desk,) = self.cluster.desks.values()
        desk.send_limit = 0.5
        for _ in range(4):
            self.cluster.ask("/read/x", 0.1)
        found = self.ask(**READ)
        self.assertEqual(Code.LIMITED.value, found.refusal.code)
        self.assertEqual(
            [(desk.instance, "limited")],
            [(row.endpoint, row.why) for row in found.passed_over],
        )


class FailureTest(PreviewCase):
    """Gateways and owners that do not answer."""

    def test_an_owner_that_does_not_reply_is_said(self):
        """Guards against a stale load that is shown as a reported one."""
        self.start(engines=4, vms=VMS)
        ring = self.cluster.gateway.owners.ring
        self.cluster.net.loses_datagram = lambda sender, receiver: True
        found = self.ask(**PROMPT)
        self.assertIn(found.basis, (Basis.SOME_OWNERS, Basis.OWN_KNOWLEDGE))
        silent = [r for r in found.compared if r.reply_age_ms is None]
        self.assertNotEqual([], silent)
        self.assertIn("own knowledge", self.text)
        self.assertEqual(1.0, ring.responsive_share)

    def test_a_gateway_without_configuration_says_so(self):
        self.start()
        gateway = self.cluster.gateway
        gateway.routes.table = None
        found = self.ask(**READ)
        self.assertIs(Code.CONFIG_MISSING, found.code)
        self.assertIn("not ready", found.reason)

    def test_a_draining_gateway_refuses(self):
        self.start()
        self.cluster.gateway._grace.begin()
        self.cluster.pass_time(9)
        self.assertIs(Code.DRAINING, self.refusal(**READ))

    def test_few_previews_are_made_at_once(self):
        """Guards against operators' scripts that keep owners busy."""
        self.start(engines=4, vms=VMS)
        self.cluster.net.loses_datagram = lambda sender, receiver: True
        asked = [begin(self.cluster.gateway, **PROMPT) for _ in range(3)]
        _, (third,) = asked[2]
        self.assertIs(Code.TOO_MANY_PREVIEWS, third.code)
        self.cluster.pass_time(0.2)
        self.assertEqual([1, 1], [len(found) for _, found in asked[:2]])
        self.assertEqual(Outcome.SENT, self.ask(**PROMPT).outcome)

    def test_a_cancelled_preview_makes_room_for_the_next(self):
        self.start(engines=4, vms=VMS)
        self.cluster.net.loses_datagram = lambda sender, receiver: True
        for _ in range(4):
            asked, found = begin(self.cluster.gateway, **PROMPT)
            self.cluster.net.advance_by(0.004, 0.001)
            self.assertEqual([], found)
            asked.addErrback(lambda reason: None)
            asked.cancel()
        self.assertEqual(
            {}, self.cluster.gateway.owners.pending_queries._pending
        )
        self.assertEqual(Outcome.SENT, self.ask(**PROMPT).outcome)


class RefusalShownTest(TestCase):
    """A refusal on its way to ctl."""

    def test_every_field_of_a_failure_is_kept(self):
        failure = Failure(Code.COLD, "why", "f", "v", retry_after_s=0.25)
        self.assertEqual(
            Refusal(317, "COLD", "why", "f", "v", 0.25), Refusal.of(failure)
        )
