"""From the id of a failed request to its cause, by the log alone."""

import json

from testtools import TestCase

from magnolialug.ctl.explain import explain_request
from magnolialug.events import Event, name_process
from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines


def line(at, vm, name, **fields):
    """Returns a log line as a process writes it."""
    event = Event[name].value
    row = {"at": at, "vm": vm, "event": event, "name": name, **fields}
    return json.dumps(row)


class ExplainTest(TestCase):
    """Three kinds of failed request."""

    def setUp(self):
        super().setUp()
        self.lines = collect_lines(self)
        name_process("front-1")
        self.addCleanup(name_process, "")

    def story(self, caller):
        """Returns the story of a caller's request as one text."""
        lines = [str(line) for line in self.lines]
        return "\n".join(explain_request(lines, caller.request_id))

    def test_refused_for_lack_of_room(self):
        """Every engine turns work away."""
        cluster = GatewayCluster(desks=0, engines=2)
        for engine in cluster.engines.values():
            engine.busy = True
        caller = cluster.ask("/draft/x")
        self.assertEqual(503, caller.last.status)
        story = self.story(caller)
        self.assertIn("PLACED", story)
        self.assertIn("QUEUE_FULL", story)
        self.assertIn("status=503", story)
        self.assertIn("NOT_RETRIED: code=", story)
        self.assertIn("executed=no", story)

    def test_late_by_a_pause(self):
        """Guards against a long answer whose line calls it in time."""
        cluster = GatewayCluster(desks=0, engines=1)
        (engine,) = cluster.engines.values()
        engine.gap_s = 0.6
        caller = cluster.ask("/check/x", 2.9)
        self.assertEqual(200, caller.last.status)
        found = r"longest pause 0\.6\d* s after event \d of 4"
        self.assertRegex(self.story(caller), found)

    def test_a_pause_beside_what_the_route_allows(self):
        fields = {"longest_gap_s": 0.9, "gap_after": 2, "gap_s": 0.5}
        rows = [line(1, "v", "CANCELLED", request="a", **fields)]
        self.assertIn(
            "longest pause 0.9 s after event 2; 0.5 s is on time",
            "".join(explain_request(rows, "a")),
        )

    def test_ended_unknown_after_its_endpoint_died(self):
        cluster = GatewayCluster(desks=1, engines=0)
        (desk,) = cluster.desks.values()
        desk.faults = [Fault.RESET_BEFORE]
        caller = cluster.ask("/book/x")
        self.assertEqual(502, caller.last.status)
        story = self.story(caller)
        self.assertIn(f"endpoint={desk.instance}", story)
        self.assertIn("the answer was reset", story)
        self.assertIn("executed=unknown", story)

    def test_lost_to_a_stale_belief(self):
        """The registry is away; another endpoint has the address."""
        cluster = GatewayCluster(desks=1, engines=1)
        (desk,) = cluster.desks.values()
        (engine,) = cluster.engines.values()
        cluster.kv.faults.down = True
        cluster.kv.end_watches()
        cluster.pass_time(1)
        cluster.net.servers[desk.address] = engine
        caller = cluster.ask("/book/x")
        self.assertEqual(503, caller.last.status)
        story = self.story(caller)
        self.assertIn("WRONG_ENDPOINT", story)
        self.assertIn(f"instance={engine.instance}", story)
        believed = story.partition("what the process believed:")[2]
        self.assertIn("KV_LOST", believed)
        self.assertIn("4200 KV_LOST: revision=", believed)

    def test_what_other_processes_learned_of_the_endpoint(self):
        """A request dies with its endpoint, which its own process cannot tell.

        Symptom: the story ends with "reset", and a crash looks like a cut
        path. Sequence: the endpoint crashes; two seconds later another
        process hears that it is gone. Cause: only what the request's own
        process came to believe was told.
        """
        lines = [
            line(100.0, "vm-1", "PLACED", request="r1", endpoint="i-1"),
            line(100.2, "vm-1", "REQUEST_FAILED", request="r1", status=502),
            line(102.0, "vm-2", "ENDPOINT_GONE", endpoint="i-1"),
            line(102.0, "vm-2", "ENDPOINT_GONE", endpoint="i-2"),
            line(102.0, "vm-2", "CONFIG_IN_FORCE", version=9),
            line(120.0, "vm-2", "ENDPOINT_LISTED", endpoint="i-1"),
        ]
        story = explain_request(lines, "r1")
        self.assertEqual("what was learned of its endpoints:", story[2])
        self.assertEqual(4, len(story))
        self.assertIn("at vm-2: 4103 ENDPOINT_GONE", story[3])
        self.assertIn("endpoint=i-1", story[3])

    def test_evacuated_zones_and_cold_endpoints_are_named(self):
        """Guards against a refusal whose cause lies minutes back."""
        lines = [
            line(10.0, "vm-1", "ZONE_EVACUATED", zone="a"),
            line(11.0, "vm-1", "ZONE_EVACUATED", zone="b"),
            line(12.0, "vm-1", "ZONE_RETURNED", zone="b"),
            line(13.0, "vm-2", "ZONE_EVACUATED", zone="c"),
            line(90.0, "vm-1", "ENDPOINT_COLD", endpoint="i-1", left_s=3.0),
            line(98.0, "vm-1", "ENDPOINT_COLD", endpoint="i-2", left_s=3.0),
            line(100.0, "vm-1", "REQUEST_FAILED", request="r1", status=503),
        ]
        story = explain_request(lines, "r1")
        self.assertEqual("what kept work from other endpoints:", story[1])
        self.assertIn("zone=a", story[2])
        self.assertIn("endpoint=i-2", story[3])
        self.assertEqual(4, len(story))

    def test_limits_that_stood_are_named(self):
        """Guards against requests that go elsewhere for no visible cause."""
        lines = [
            line(10.0, "vm-1", "ENDPOINT_LIMITED", endpoint="i-1", per_s=2.0),
            line(11.0, "vm-1", "ENDPOINT_LIMITED", endpoint="i-2", per_s=2.0),
            line(12.0, "vm-1", "ENDPOINT_UNLIMITED", endpoint="i-2"),
            line(13.0, "vm-2", "ENDPOINT_LIMITED", endpoint="i-3", per_s=2.0),
            line(99.0, "vm-1", "REQUEST_FAILED", request="r1", status=503),
        ]
        story = explain_request(lines, "r1")
        self.assertEqual("what kept work from other endpoints:", story[1])
        self.assertIn("endpoint=i-1", story[2])
        self.assertEqual(3, len(story))

    def test_endpoints_that_leave_are_named_with_the_source(self):
        """Guards against requests that go elsewhere for no visible cause."""

        def leaving(at, endpoint, source):
            return line(
                at, "vm-1", "ENDPOINT_LEAVING", endpoint=endpoint, source=source
            )

        lines = [
            leaving(10.0, "i-1", "answer"),
            leaving(11.0, "i-2", "registry"),
            leaving(12.0, "i-3", "entry"),
            line(13.0, "vm-1", "ENDPOINT_GONE", endpoint="i-2"),
            line(14.0, "vm-1", "ENDPOINT_RESTARTED", endpoint="i-3"),
            line(99.0, "vm-1", "REQUEST_FAILED", request="r1", status=503),
        ]
        story = explain_request(lines, "r1")
        self.assertEqual("what kept work from other endpoints:", story[1])
        self.assertIn("endpoint=i-1, source=answer", story[2])
        self.assertEqual(3, len(story))

    def test_rests_that_stood_are_named(self):
        """Guards against requests that go elsewhere for no visible cause."""
        lines = [
            line(97.0, "vm-1", "ENDPOINT_RESTING", endpoint="i-1", rest_s=3.0),
            line(97.0, "vm-1", "ENDPOINT_RESTING", endpoint="i-2", rest_s=1.0),
            line(98.1, "vm-1", "ENDPOINT_RESTED", endpoint="i-2"),
            line(97.0, "vm-1", "ENDPOINT_RESTING", endpoint="i-3", rest_s=9.0),
            line(98.0, "vm-1", "ENDPOINT_RESTARTED", endpoint="i-3"),
            line(97.0, "vm-2", "ENDPOINT_RESTING", endpoint="i-4", rest_s=9.0),
            line(99.0, "vm-1", "REQUEST_FAILED", request="r1", status=503),
        ]
        story = explain_request(lines, "r1")
        self.assertEqual("what kept work from other endpoints:", story[1])
        self.assertIn("endpoint=i-1", story[2])
        self.assertEqual(3, len(story))

    def test_a_process_that_starts_again_has_forgotten_evacuations(self):
        lines = [
            line(10.0, "vm-1", "ZONE_EVACUATED", zone="a"),
            line(20.0, "vm-1", "STARTED"),
            line(100.0, "vm-1", "REQUEST_FAILED", request="r1", status=503),
        ]
        self.assertEqual(1, len(explain_request(lines, "r1")))

    def test_an_id_that_is_not_there(self):
        self.assertEqual([], explain_request(["no json", "{}"], "x"))
