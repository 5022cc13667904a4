"""Engine cost when prompts return to engines that are nearly full.

Load pattern of the users' busiest days: dossiers of 9,000 shared and 3,000 own
tokens, and engines that prefill 75,000 to 112,000 tokens per second and spend
three quarters of their time on prefill. A fifth of the shared tokens was
prefilled again although an engine or a store held them.
"""

from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.policy.endpointledger import EndpointLedger
from magnolialug.policy.enginecost import engine_cost_s
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.sharedload import Placement

SHARED, OWN = 9000, 3000


class Engine:
    """One engine as its owner and one of the other entries see it."""

    def __init__(self):
        self.load = EngineLoad(memory=142_000, slots=128)
        self.ledger = EndpointLedger(EndpointId("i"), 142_000, 0)

    def record_placement(self, prompt):
        """Records that some entry has sent a prompt."""
        self.ledger.record_placement(
            Placement(EndpointId("i"), "s", prompt.shared)
        )

    def cost(self, prompt, fetch_s=0.0):
        """Returns the cost of a prompt, given the parts in its cache."""
        state = self.ledger.state("me", 0.0, "s", prompt.shared)
        held = sum(part.tokens for part in prompt.shared[: state.cached_parts])
        tokens = prompt.input_tokens + prompt.max_output_tokens
        unread = prompt.input_tokens - held
        return engine_cost_s(self.load, 1, tokens, unread, fetch_s, 0)


def dossier(name):
    """Returns a prompt whose first part is shared with others."""
    parts = (Part(name, SHARED), Part(f"own-{name}", OWN))
    return Prompt("m", parts, SHARED + OWN, 64)


class ReadingAgainTest(TestCase):
    """Guards against prefill of parts that an engine has cached."""

    def test_an_engine_that_another_entry_filled_is_preferred(self):
        """Guards against a repeated prefill when another entry gets a dossier.

        Symptom: it is prefilled again at an idle engine although another has it
        cached. Sequence: one entry sends it to an engine, then it returns
        through another entry. Cause: an entry knew only its own requests.
        """
        prompt = dossier("d")
        holder, idle = Engine(), Engine()
        self.assertEqual(holder.cost(prompt), idle.cost(prompt))
        holder.record_placement(prompt)
        self.assertLess(holder.cost(prompt), idle.cost(prompt) - 0.1)

    def test_requests_of_other_entries_evict_parts(self):
        """Guards against a cache estimate that ignores other entries' traffic.

        Symptom: one of many entries counts parts as cached for minutes after
        their eviction, and sends prompts there that are prefilled again. Cause:
        it counted only its own share of the traffic, but the requests of all
        entries evict parts.
        """
        engine = Engine()
        prompt = dossier("d")
        engine.record_placement(prompt)
        for number in range(20):
            engine.record_placement(dossier(f"x{number}"))
        state = engine.ledger.state("me", 0.0, "s", prompt.shared)
        self.assertEqual(0, state.cached_parts)

    def test_repeated_prefill_costs_more_than_the_callers_own_wait(self):
        """Guards against a needless prefill to save a slightly longer queue.

        Symptom: all prompts wait for tokens that need not be prefilled.
        Sequence: engines are three quarters busy, and one without the dossier
        has 0.15 s less queue than the one with it. Cause: only the prompt's own
        wait was compared, and the shorter queue won.
        """
        prompt = dossier("d")
        holder, other = Engine(), Engine()
        holder.record_placement(prompt)
        queued = Prompt("m", (Part("own", 11_000),), 11_000, 64)
        holder.load.sent("q", "s", queued, 11_000, 1, 0.0)
        wait_s = holder.load.first_event_s(1, OWN)
        wait_s -= other.load.first_event_s(1, 12_000)
        self.assertGreater(wait_s, 0.0)
        self.assertLess(holder.cost(prompt), other.cost(prompt))

    def test_a_much_longer_queue_outweighs_the_cached_part(self):
        prompt = dossier("d")
        holder, other = Engine(), Engine()
        holder.record_placement(prompt)
        for number in range(4):
            queued = Prompt("m", (Part("own", 11_000),), 11_000, 64)
            holder.load.sent(f"q{number}", "s", queued, 11_000, 1, 0.0)
        self.assertGreater(holder.cost(prompt), other.cost(prompt))
