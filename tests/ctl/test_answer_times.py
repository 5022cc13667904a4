"""Answers late by their first event, by a pause, or by both, from log lines.

The load: a route whose answers pause while engines read other prompts.
"""

from testtools import TestCase

from magnolialug.ctl.account import account, as_tables
from magnolialug.policy.ontime import Lateness
from tests.ctl.test_account import done, line, placed


def streamed(at, request, late="", gap_s=0.1, **fields):
    """Returns the line of a streamed answer whose pauses were measured."""
    fields = {"status": 200, "took_s": 2.0, "first_s": 0.5, **fields}
    return line(
        at,
        "REQUEST_DONE",
        request,
        route="r",
        in_time=late not in ("first_event", "both"),
        events=8,
        longest_gap_s=gap_s,
        gap_after=3,
        gap_s=0.5,
        gaps_in_time=late not in ("gap", "both"),
        late=late,
        **fields,
    )


class AnswerTimesTest(TestCase):
    """Whole answers by route."""

    def test_both_kinds_are_told_apart(self):
        """Guards against late answers that count as on time."""
        causes = ("", "gap", "gap", "first_event", "both")
        rows = [streamed(n, str(n), late) for n, late in enumerate(causes)]
        times = account(rows).times["r"]
        self.assertEqual(
            {
                Lateness.ON_TIME: 1,
                Lateness.GAP: 2,
                Lateness.FIRST_EVENT: 1,
                Lateness.BOTH: 1,
            },
            dict(times.late),
        )
        self.assertEqual(0, times.unmeasured)

    def test_lines_of_earlier_releases_count_by_their_first_event(self):
        """Guards against logs of a rolling upgrade that cannot be read."""
        rows = [done(1, "a"), done(2, "b", in_time=False), streamed(3, "c")]
        times = account(rows).times["r"]
        self.assertEqual(2, times.unmeasured)
        self.assertEqual(
            {Lateness.ON_TIME: 2, Lateness.FIRST_EVENT: 1}, dict(times.late)
        )
        self.assertEqual([0.1], times.gaps_s)

    def test_answers_of_failed_endpoints_do_not_count(self):
        self.assertEqual({}, account([streamed(1, "a", status=500)]).times)

    def test_an_answer_of_one_event_has_no_pause(self):
        """Guards against percentiles that short answers draw to 0."""
        one = streamed(1, "a", gap_s=0.0).replace('"events": 8', '"events": 1')
        times = account([one, streamed(2, "b")]).times["r"]
        self.assertEqual([0.1], times.gaps_s)
        self.assertEqual(0, times.unmeasured)
        self.assertEqual({Lateness.ON_TIME: 2}, dict(times.late))

    def test_percentiles(self):
        rows = [
            streamed(n, str(n), gap_s=n / 100, first_s=n / 1000)
            for n in range(1, 101)
        ]
        text = as_tables(account([*rows, done(200, "x", first_s=0.0)]))
        (heads,) = [row for row in text.splitlines() if "pause p95" in row]
        cells = text.splitlines()[text.splitlines().index(heads) + 1].split()
        self.assertEqual(["0.500", "0.950", "0.990"], cells[4:])


class ReadBesideTest(TestCase):
    """Pauses by the prompt tokens that others brought meanwhile."""

    def placed(self, at, request, unread, endpoint="e"):
        """Returns the line of a prompt at an engine."""
        return line(
            at, "PLACED", request, route="r", endpoint=endpoint, unread=unread
        )

    def classes(self, *rows):
        """Returns how many answers are in each class."""
        found = account(rows).beside
        return {name: len(row.gaps_s) for (_, name), row in found.items()}

    def test_tokens_of_others_at_the_endpoint_while_it_answers(self):
        """Guards against pauses that nothing is named for."""
        for unread, name in (
            (0, "under 5,000/s"),
            (9_999, "under 5,000/s"),
            (10_000, "to 15,000/s"),
            (30_000, "to 30,000/s"),
            (60_000, "more"),
        ):
            found = self.classes(
                self.placed(10.0, "a", 90_000),
                self.placed(11.0, "b", unread),
                # From 10.5 on for two seconds.
                streamed(12.5, "a", took_s=2.5, first_s=0.5),
            )
            self.assertEqual({name: 1}, found, unread)

    def test_what_is_elsewhere_or_at_other_times_does_not_count(self):
        found = self.classes(
            self.placed(10.0, "a", 90_000),
            self.placed(10.4, "b", 90_000),
            self.placed(11.0, "c", 90_000, endpoint="f"),
            self.placed(12.6, "d", 90_000),
            streamed(12.5, "a", took_s=2.5, first_s=0.5),
        )
        self.assertEqual({"under 5,000/s": 1}, found)

    def test_an_own_retry_does_not_count(self):
        """Guards against a request that stands beside itself."""
        found = self.classes(
            self.placed(10.0, "a", 90_000, endpoint="f"),
            self.placed(11.0, "a", 90_000),
            streamed(12.5, "a", took_s=2.5, first_s=0.5),
        )
        self.assertEqual({"under 5,000/s": 1}, found)

    def test_a_hedged_request_does_not_count(self):
        """Guards against a pause that the wrong endpoint is named for."""
        found = self.classes(
            self.placed(10.0, "a", 0, endpoint="f"),
            line(10.8, "HEDGED", "a", endpoint="f", silent_s=0.8),
            self.placed(10.8, "a", 0),
            self.placed(11.0, "b", 90_000),
            streamed(12.5, "a", took_s=2.5, first_s=0.5),
            self.placed(12.6, "c", 0),
            streamed(15.0, "c", took_s=2.4, first_s=0.5),
        )
        self.assertEqual({"under 5,000/s": 1}, found)

    def test_a_short_answer_counts_the_second_before_its_end(self):
        """Guards against rates over hundredths of a second."""
        found = self.classes(
            self.placed(10.0, "a", 0),
            self.placed(10.5, "b", 4_000),
            streamed(10.52, "a", took_s=0.52, first_s=0.48),
        )
        self.assertEqual({"under 5,000/s": 1}, found)

    def test_an_answer_of_one_event_has_no_pause(self):
        rows = [self.placed(1, "a", 0), streamed(2, "a")]
        rows[1] = rows[1].replace('"events": 8', '"events": 1')
        self.assertEqual({}, self.classes(*rows))

    def test_late_ones_are_in_the_table(self):
        rows = [self.placed(1, "a", 0), streamed(3, "a", "gap", gap_s=0.9)]
        (row,) = account(rows).beside.values()
        self.assertEqual(([0.9], 1), (row.gaps_s, row.late))
        self.assertIn("longest pauses", as_tables(account(rows)))

    def test_lines_of_earlier_releases_have_no_pause(self):
        self.assertEqual({}, self.classes(placed(1, "a"), done(2, "a")))
