"""Waits for room before placement, from log lines.

The load: long prompts that wait until some engine has memory for them.
"""

from testtools import TestCase

from magnolialug.ctl.account import account, as_tables
from tests.ctl.test_account import done, line, placed


def waited(at, request, waited_s, unread=9000, room=0.2):
    """Returns the line of a prompt that waited before it was placed."""
    return line(
        at,
        "PLACED",
        request,
        route="r",
        waited_s=waited_s,
        unread=unread,
        room=room,
    )


class PlacementWaitsTest(TestCase):
    """Requests of one route."""

    def test_who_waited_how_long_for_how_much(self):
        rows = [
            waited(1, "a", 0.0),
            waited(2, "b", 2.5, unread=8000),
            waited(3, "c", 0.5, unread=4000, room=None),
        ]
        waits = account(rows).waits["r"]
        self.assertEqual((3, [2.5, 0.5]), (waits.placed, waits.waited_s))
        self.assertEqual(([8000, 4000], [0.2]), (waits.unread, waits.room))
        (heads, row, *_) = self.table(rows)
        self.assertEqual(
            ["r", "3", "2", "3.0", "2.500", "2.500", "4000", "0.200"],
            row.split()[:8],
        )
        self.assertIn("longest s", heads)

    def test_a_retry_tells_the_same_wait_again(self):
        """Guards against waits that count once for each attempt."""
        rows = [waited(2, "a", 2.0), waited(3, "a", 2.0)]
        waits = account(rows).waits["r"]
        self.assertEqual((1, [2.0]), (waits.placed, waits.waited_s))

    def test_who_ended_before_any_endpoint(self):
        """Guards against the longest waits that no placement tells of."""
        ended = {"route": "r", "phase": "unplaced", "took_s": 4.0}
        rows = [
            line(5, "REQUEST_FAILED", "a", executed="no", **ended),
            line(6, "CANCELLED", "b", **ended),
            line(7, "CANCELLED", "c", route="r", phase="reading", took_s=9.0),
        ]
        waits = account(rows).waits["r"]
        self.assertEqual([4.0, 4.0], waits.unplaced_s)
        self.assertEqual(0, waits.placed)

    def test_lines_of_earlier_releases(self):
        waits = account([placed(1, "a"), done(2, "a")]).waits["r"]
        self.assertEqual((1, []), (waits.placed, waits.waited_s))

    def table(self, rows):
        """Returns the lines of the table of waits."""
        lines = as_tables(account(rows)).splitlines()
        heads = next(row for row in lines if row.startswith("waits before"))
        return lines[lines.index(heads) :]
