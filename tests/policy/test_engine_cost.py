"""The heaviest days: prompts that return to engines which are nearly full.

The pattern is that of the users' busiest days: dossiers of 9,000 shared and
3,000 own tokens, engines that read 75,000 to 112,000 tokens a second, three
quarters of their time taken up by reading. A fifth of the shared tokens was
read again although an engine or a store held them.
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
    """One engine as its owner and one of the other entries know it."""

    def __init__(self):
        self.load = EngineLoad(memory=142_000, slots=128)
        self.ledger = EndpointLedger(EndpointId("i"), 142_000, 0)

    def placed(self, prompt):
        """Learns that some entry has sent a prompt."""
        self.ledger.placed(Placement(EndpointId("i"), "s", prompt.shared))

    def cost(self, prompt, fetch_s=0.0):
        """Returns the cost of a prompt, by what the engine holds."""
        state = self.ledger.state("me", 0.0, "s", prompt.shared)
        held = sum(part.tokens for part in prompt.shared[: state.found])
        tokens = prompt.input_tokens + prompt.max_output_tokens
        unread = prompt.input_tokens - held
        return engine_cost_s(self.load, 1, tokens, unread, fetch_s, 0)


def dossier(name):
    """Returns a prompt whose first part others share."""
    parts = (Part(name, SHARED), Part(f"own-{name}", OWN))
    return Prompt("m", parts, SHARED + OWN, 64)


class ReadingAgainTest(TestCase):
    """What others have brought to an engine is found there."""

    def test_an_engine_that_another_entry_filled_is_preferred(self):
        """A dossier returns through another entry.

        Symptom: it is read again at an idle engine although a second one
        holds it. Sequence: one entry sends it to an engine, it returns
        through another. Cause: an entry knew only what it had sent itself.
        """
        prompt = dossier("d")
        holder, idle = Engine(), Engine()
        self.assertEqual(holder.cost(prompt), idle.cost(prompt))
        holder.placed(prompt)
        self.assertLess(holder.cost(prompt), idle.cost(prompt) - 0.1)

    def test_what_others_send_pushes_parts_out(self):
        """An engine's memory turns over by what all entries send.

        Symptom: an entry of many believes for minutes in parts that are long
        gone, and sends prompts there that are read again. Cause: it counted
        its own share of the traffic only.
        """
        engine = Engine()
        prompt = dossier("d")
        engine.placed(prompt)
        for number in range(20):
            engine.placed(dossier(f"x{number}"))
        state = engine.ledger.state("me", 0.0, "s", prompt.shared)
        self.assertEqual(0, state.found)

    def test_reading_again_costs_more_than_the_callers_own_wait(self):
        """Engines are three quarters busy, a little less at those without.

        Symptom: everybody waits for tokens that need not be read. Sequence:
        an engine that would have to read a dossier has 0.15 s less queue
        than the one that holds it. Cause: only the prompt's own wait was
        compared, and the shorter queue won.
        """
        prompt = dossier("d")
        holder, other = Engine(), Engine()
        holder.placed(prompt)
        queued = Prompt("m", (Part("own", 11_000),), 11_000, 64)
        holder.load.sent("q", "s", queued, 11_000, 1, 0.0)
        wait_s = holder.load.first_event_s(1, OWN)
        wait_s -= other.load.first_event_s(1, 12_000)
        self.assertGreater(wait_s, 0.0)
        self.assertLess(holder.cost(prompt), other.cost(prompt))

    def test_a_much_longer_queue_still_sends_it_elsewhere(self):
        prompt = dossier("d")
        holder, other = Engine(), Engine()
        holder.placed(prompt)
        for number in range(4):
            queued = Prompt("m", (Part("own", 11_000),), 11_000, 64)
            holder.load.sent(f"q{number}", "s", queued, 11_000, 1, 0.0)
        self.assertGreater(holder.cost(prompt), other.cost(prompt))
