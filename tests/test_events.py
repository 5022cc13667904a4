"""Log lines: one for each decision, and never a prompt or key."""

from testtools import TestCase

from magnolialug.ctl.explain import explain_request
from magnolialug.events import Event
from tests.harness import Cluster
from tests.loglines import collect_lines

SECRET = "the seller is in debt"


class EventsTest(TestCase):
    """What a small cluster logs."""

    def lines(self, work) -> list[str]:
        lines = collect_lines(self)
        work()
        return [str(line) for line in lines]

    def test_decisions_are_logged_without_prompts_or_keys(self):
        cluster = Cluster()
        asked = []

        def work():
            asked.append(cluster.call(0, cluster.prompt(SECRET)))
            booking = cluster.booking("my-key-77", '{"who": "Anna Kis"}')
            asked.append(cluster.call(1, booking))
            for outcome in asked:
                cluster.finish(outcome)

        text = "".join(self.lines(work))
        for secret in (SECRET, "my-key-77", "Anna Kis"):
            self.assertNotIn(secret, text)
        for event in (
            Event.PLACED,
            Event.CLAIM_MADE,
            Event.ATTEMPT_HANDED_OVER,
            Event.REQUEST_DONE,
        ):
            self.assertIn(f'"event":{event.value},', text)

    def test_explain_tells_the_costs_compared(self):
        cluster = Cluster(bookings=0)
        asked = []

        def work():
            asked.append(cluster.call(0, cluster.prompt("hello")))
            cluster.finish(asked[0])

        lines = self.lines(work)
        story = explain_request([*lines, "not json"], asked[0].sink.request_id)
        self.assertIn("2000 PLACED", story[0])
        self.assertIn("cache from recompute", story[0])
        self.assertIn("3003 ATTEMPT_ENDED", story[-1])
