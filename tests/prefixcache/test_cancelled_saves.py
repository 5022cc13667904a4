"""Parts whose first reader did not run.

The pattern: engines crash and start again while prompts come, so that a
prompt is turned away by its first engine and is read by a second one.
"""

from testtools import TestCase

from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster


class CancelledSaveTest(TestCase):
    """Two engines and a store; the engine tried first does not run."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(desks=0, engines=2)
        self.store = self.cluster.add_store()

    def ask(self, number, seconds=0.4):
        """Sends a prompt whose parts are its own; returns its caller."""
        parts = f"aa:500,p{number}:2000,o{number}:500"
        return self.cluster.ask("/check/x", parts=parts, seconds=seconds)

    def whole_parts(self):
        """Returns the names of the parts that the store holds."""
        return {name for (_, name), p in self.store.parts.items() if p.whole}

    def test_the_engine_that_reads_a_part_saves_it(self):
        """The first engine sheds; the second one was not asked to save."""
        sheds = next(iter(self.cluster.engines.values()))
        sheds.faults[:] = [Fault.SHED] * 12
        for number in range(12):
            self.assertEqual(200, self.ask(number).last.status)
        self.cluster.pass_time(0.5)
        expected = {f"p{number}" for number in range(12)}
        self.assertLess(len(sheds.faults), 12)
        self.assertEqual(expected, self.whole_parts() - {"aa"})

    def test_a_part_is_saved_after_its_reader_could_not_be_reached(self):
        down = next(iter(self.cluster.engines.values()))
        self.cluster.net.servers.pop(down.address)
        for conn in list(down.open):
            conn.transport.abortConnection()
        for number in range(12):
            self.assertEqual(200, self.ask(number).last.status)
        self.cluster.pass_time(0.5)
        expected = {f"p{number}" for number in range(12)}
        self.assertEqual(expected, self.whole_parts() - {"aa"})
