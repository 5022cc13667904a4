"""Tests of states that are logged when they begin and end."""

from testtools import TestCase

from magnolialug.events import Event
from magnolialug.statelog import StateLog
from tests.loglines import collect_lines


class StateLogTest(TestCase):
    """One line at each end."""

    def test_a_state_that_comes_and_goes_is_told_once(self):
        """Guards against a line for each of a thousand refusals."""
        log = StateLog(Event.CONNECTIONS_FULL, Event.CONNECTIONS_FREE)
        lines = collect_lines(self)
        for tick in range(100):
            now = tick * 0.1
            if tick % 5 == 0 and tick < 60:
                log.see(now)
            log.tick(now, count=tick)
        self.assertEqual(2, len(lines))
        self.assertIn(Event.CONNECTIONS_FULL.name, lines[0])
        self.assertIn(Event.CONNECTIONS_FREE.name, lines[1])
