"""The heaviest days: prompts that return to engines which are nearly full.

The pattern is that of the users' busiest days: dossiers of 9,000 shared and
3,000 own tokens, engines that read 75,000 to 112,000 tokens a second, three
quarters of their time taken up by reading. A fifth of the shared tokens was
read again although an engine or a store held them.
"""

from testtools import TestCase

from magnolialug.ids import EndpointId
from magnolialug.policy.enginecost import engine_cost_s
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.sharedload import Placement

SHARED, OWN = 9000, 3000


def engine():
    """Returns what is known of an engine before anything was sent."""
    return EngineLoad(memory=142_000, slots=128)


def dossier(name):
    """Returns a prompt whose first part others share."""
    parts = (Part(name, SHARED), Part(f"own-{name}", OWN))
    return Prompt("m", parts, SHARED + OWN, 64)


def cost(load, prompt, fetch_s=0.0):
    """Returns the cost of a prompt at an engine, by what it holds."""
    unread = prompt.tokens_in - load.cached_tokens("s", prompt)
    tokens = prompt.tokens_in + prompt.tokens_out
    return engine_cost_s(load, 1, tokens, unread, fetch_s, 0)


class ReadingAgainTest(TestCase):
    """What others have brought to an engine is found there."""

    def test_an_engine_that_another_entry_filled_is_preferred(self):
        """A dossier returns through another entry.

        Symptom: it is read again at an idle engine although a second one
        holds it. Sequence: one entry sends it to an engine, it returns
        through another. Cause: an entry knew only what it had sent itself.
        """
        prompt = dossier("d")
        holder, idle = engine(), engine()
        self.assertEqual(cost(holder, prompt), cost(idle, prompt))
        placement = Placement(EndpointId("i"), "s", prompt.shared)
        holder.placed_elsewhere(placement)
        self.assertLess(cost(holder, prompt), cost(idle, prompt) - 0.1)

    def test_what_others_send_pushes_parts_out(self):
        """An engine's memory turns over by what all entries send.

        Symptom: an entry of many believes for minutes in parts that are long
        gone, and sends prompts there that are read again. Cause: it counted
        its own share of the traffic only.
        """
        load = engine()
        prompt = dossier("d")
        load.placed_elsewhere(Placement(EndpointId("i"), "s", prompt.shared))
        for number in range(20):
            other = dossier(f"x{number}").shared
            load.placed_elsewhere(Placement(EndpointId("i"), "s", other))
        self.assertEqual(0, load.cached_tokens("s", prompt))

    def test_reading_again_costs_more_than_the_callers_own_wait(self):
        """Engines are three quarters busy, a little less at those without.

        Symptom: everybody waits for tokens that need not be read. Sequence:
        an engine that would have to read a dossier has 0.15 s less queue
        than the one that holds it. Cause: only the prompt's own wait was
        compared, and the shorter queue won.
        """
        prompt = dossier("d")
        holder, other = engine(), engine()
        holder.placed_elsewhere(Placement(EndpointId("i"), "s", prompt.shared))
        queued = Prompt("m", (Part("own", 11_000),), 11_000, 64)
        holder.sent("q", "s", queued, 11_000, 1, 0.0)
        wait_s = holder.first_event_s(1, OWN) - other.first_event_s(1, 12_000)
        self.assertGreater(wait_s, 0.0)
        self.assertLess(cost(holder, prompt), cost(other, prompt))

    def test_a_much_longer_queue_still_sends_it_elsewhere(self):
        prompt = dossier("d")
        holder, other = engine(), engine()
        holder.placed_elsewhere(Placement(EndpointId("i"), "s", prompt.shared))
        for number in range(4):
            queued = Prompt("m", (Part("own", 11_000),), 11_000, 64)
            holder.sent(f"q{number}", "s", queued, 11_000, 1, 0.0)
        self.assertGreater(cost(holder, prompt), cost(other, prompt))
