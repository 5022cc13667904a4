"""How long engines wait for parts from stores whose links are slow.

Load pattern: for five seconds the links of half of the stores move parts four
times as slowly, and nobody announces it. Short prompts of 2,000 tokens, which
an engine reads in 0.03 s, wait up to two seconds for 300 of them.
"""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from magnolialug.policy.fetchdeadline import fetch_deadline

NOW = 100.0
SHORT_READ_S = 2_000 / 60_000
LONG_READ_S = 12_000 / 60_000
FIRST_EVENT_S = 0.15
times = st.floats(0.0, 5.0)


def first_event_at(deadline, read_s):
    """Returns when the first event comes if the fetch is given up."""
    return deadline + read_s + FIRST_EVENT_S


class FetchDeadlineTest(TestCase):
    """Prompts that meet a link which has become slow."""

    def test_a_short_prompt_is_read_while_it_can_still_be_in_time(self):
        deadline = fetch_deadline(NOW + 0.5, NOW, 0.05, SHORT_READ_S)
        self.assertLessEqual(
            first_event_at(deadline, SHORT_READ_S), NOW + 0.5 + 1e-9
        )

    def test_what_would_be_late_anyway_waits_as_long_as_reading_is_worth(self):
        """Guards against engines that read whole bursts for nothing."""
        deadline = fetch_deadline(NOW - 1.0, NOW, 0.0, LONG_READ_S)
        self.assertAlmostEqual(NOW + 3 * LONG_READ_S, deadline)

    def test_a_fetch_over_an_idle_link_is_never_given_up_at_once(self):
        deadline = fetch_deadline(NOW - 1.0, NOW, 0.0, 0.001)
        self.assertGreaterEqual(deadline, NOW + 0.05)

    def test_the_wait_begins_when_the_engine_admits_the_prompt(self):
        """Guards against fetches that expire in an engine's queue."""
        at_once = fetch_deadline(NOW - 1.0, NOW, 0.0, LONG_READ_S)
        queued = fetch_deadline(NOW - 1.0, NOW, 2.0, LONG_READ_S)
        self.assertAlmostEqual(at_once + 2.0, queued)

    @given(target_s=times, ahead_s=times, read_s=times)
    def test_it_is_in_time_or_bounded_by_what_reading_takes(
        self, target_s, ahead_s, read_s
    ):
        deadline = fetch_deadline(NOW + target_s, NOW, ahead_s, read_s)
        wait_s = deadline - NOW - ahead_s
        in_time = first_event_at(deadline, read_s) <= NOW + target_s + 1e-6
        self.assertTrue(in_time or wait_s <= max(3 * read_s, 0.05) + 1e-6)
        self.assertGreaterEqual(wait_s, 0.05 - 1e-6)
