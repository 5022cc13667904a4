"""What entries tell an engine's owner of the streams in progress there.

Load pattern: many entries send short and long prompts to the same engine, so
that no entry alone sees how many streams it writes, nor which may pause least.
"""

from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.policy.endpointledger import EndpointLedger
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.prompt import Part, Prompt

ENGINE = EndpointId("i-1")
MEMORY = 84_000


def load_with(gaps_s, written):
    """Returns the load of streams, the first `written` past the first event."""
    load = EngineLoad(MEMORY, 64)
    prompt = Prompt("m", (Part("a", 900),), 1_000, 8)
    for number, gap_s in enumerate(gaps_s):
        load.sent(str(number), "s", prompt, 1_000, 1, 0.0, gap_s)
    for number in range(written):
        load.first_event(str(number), 0.3)
    return load


def report(ledger, entry, load):
    """Records an entry's share of the engine's work."""
    ledger.record_share(entry, load.share(ENGINE, 0.0, 0.5, 0, {}, {}), 0.5)


class StreamsInProgressTest(TestCase):
    """Guards against prefill that is placed beside streams nobody counted."""

    def test_the_owner_adds_up_the_streams_that_all_others_write(self):
        ledger = EndpointLedger(ENGINE, MEMORY, 0)
        report(ledger, "front-1", load_with((0.5, 0.5, 0.5), written=2))
        report(ledger, "front-2", load_with((0.5,), written=1))
        self.assertEqual(3, ledger.state("front-3", 0.5).writing)
        self.assertEqual(1, ledger.state("front-1", 0.5).writing)

    def test_the_shortest_allowed_pause_is_the_one_that_binds(self):
        ledger = EndpointLedger(ENGINE, MEMORY, 0)
        report(ledger, "front-1", load_with((0.0, 0.5), written=1))
        report(ledger, "front-2", load_with((0.25,), written=0))
        self.assertEqual(250, ledger.state("front-3", 0.5).gap_ms)
        self.assertEqual(500, ledger.state("front-2", 0.5).gap_ms)

    def test_routes_that_name_no_pause_bind_nothing(self):
        ledger = EndpointLedger(ENGINE, MEMORY, 0)
        report(ledger, "front-1", load_with((0.0, 0.0), written=2))
        state = ledger.state("front-2", 0.5)
        self.assertEqual((0, 0), (state.writing, state.gap_ms))
