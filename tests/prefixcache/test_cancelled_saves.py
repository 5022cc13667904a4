"""Saves of parts whose first engine did not run the request.

Engines crash and restart while prompts arrive, so that a prompt is refused by
its first engine and prefilled by a second one.
"""

from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster


class CancelledSaveTest(TestCase):
    """Two engines and a store; the first engine does not run the request."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(desks=0, engines=2)
        self.store = self.cluster.add_store()

    def ask(self, number, seconds=0.4):
        """Sends a prompt with its own parts; returns its caller."""
        parts = f"aa:500,p{number}:2000,o{number}:500"
        return self.cluster.ask("/check/x", parts=parts, seconds=seconds)

    def complete_parts(self):
        """Returns the names of the parts that the store holds completely."""
        return {name for (_, name), p in self.store.parts.items() if p.whole}

    def test_the_engine_that_prefills_a_part_saves_it(self):
        """The first engine sheds load; the second was not asked to save."""
        shedding = next(iter(self.cluster.engines.values()))
        shedding.faults[:] = [Fault.SHED] * 12
        for number in range(12):
            self.assertEqual(200, self.ask(number).last.status)
        self.cluster.pass_time(0.5)
        expected = {f"p{number}" for number in range(12)}
        self.assertLess(len(shedding.faults), 12)
        self.assertEqual(expected, self.complete_parts() - {"aa"})

    def test_a_part_is_saved_after_its_first_engine_was_unreachable(self):
        down = next(iter(self.cluster.engines.values()))
        self.cluster.net.servers.pop(down.address)
        for conn in list(down.open):
            conn.transport.abortConnection()
        for number in range(12):
            self.assertEqual(200, self.ask(number).last.status)
        self.cluster.pass_time(0.5)
        expected = {f"p{number}" for number in range(12)}
        self.assertEqual(expected, self.complete_parts() - {"aa"})
