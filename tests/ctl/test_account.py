"""Adding up gateways' log lines."""

import json
import os
import tempfile

from testtools import TestCase

from magnolialug.ctl.account import Ending, Reread, account, as_tables
from magnolialug.ctl.accountplot import draw_account
from magnolialug.events import Event


def line(at, name, request="", **fields):
    """Returns a log line as a gateway writes it."""
    event = Event[name].value
    row = {"at": at, "vm": "v", "event": event, "name": name, **fields}
    if request:
        row["request"] = request
    return json.dumps(row)


def placed(at, request, *parts, salt="s"):
    """Returns the line of a prompt that was sent to an engine."""
    return line(at, "PLACED", request, route="r", salt=salt, parts=parts)


def done(at, request, took_s=1.0, first_s=0.2, in_time=True):
    """Returns the line of a call that was served."""
    return line(
        at,
        "REQUEST_DONE",
        request,
        route="r",
        status=200,
        took_s=took_s,
        first_s=first_s,
        in_time=in_time,
    )


class EndingsTest(TestCase):
    """How calls ended, and where their time went."""

    def test_endings(self):
        left = {"route": "r", "took_s": 9.0, "phase": "writing"}
        for last, ending in (
            (done(2, "a"), Ending.IN_TIME),
            (done(2, "a", in_time=False), Ending.LATE),
            (
                line(2, "REQUEST_FAILED", "a", route="r", executed="no"),
                Ending.REFUSED,
            ),
            (
                line(
                    2,
                    "REQUEST_FAILED",
                    "a",
                    route="r",
                    executed="unknown",
                    code_name="TIMED_OUT",
                ),
                Ending.OUT_OF_TIME,
            ),
            (
                line(2, "REQUEST_FAILED", "a", route="r", executed="unknown"),
                Ending.FAILED,
            ),
            (
                line(2, "CANCELLED", "a", left_s=0.01, **left),
                Ending.OUT_OF_TIME,
            ),
            (line(2, "CANCELLED", "a", left_s=3.0, **left), Ending.LEFT),
        ):
            found = account([placed(1, "a"), last])
            self.assertEqual(1, found.endings["r", ending], (last, ending))
            self.assertEqual(1, found.seconds[1, ending])

    def test_time_is_shared_out(self):
        found = account(
            [
                placed(1.0, "a"),
                placed(1.5, "a"),
                done(5, "a", took_s=4.0, first_s=0.7),
            ]
        )
        for name, seconds in (
            ("retry", 0.5),
            ("queue and reading", 0.2),
            ("writing", 3.3),
            ("silent endpoint", 0.0),
        ):
            self.assertAlmostEqual(seconds, found.spent["r", name], msg=name)

    def test_a_silent_endpoint_is_told_apart(self):
        found = account(
            [
                placed(1.0, "a"),
                line(
                    5,
                    "CANCELLED",
                    "a",
                    route="r",
                    took_s=4.0,
                    silent_s=3.0,
                    phase="reading",
                    left_s=0.0,
                ),
            ]
        )
        self.assertEqual(1, found.cut_in["r", "silent endpoint"])
        self.assertEqual(3.0, found.spent["r", "silent endpoint"])

    def test_lines_of_others_are_passed_over(self):
        noise = ["", "no record", "[1]", "{", '{"at": 1}']
        found = account([*noise, placed(1, "a"), " 12.5 vm-1 " + done(2, "a")])
        self.assertEqual(1, sum(found.endings.values()))

    def test_nothing_gives_empty_tables(self):
        self.assertIn("calls by route", as_tables(account([])))


class RereadTest(TestCase):
    """Which shared tokens were read again, and why."""

    def test_reasons(self):
        new = ("p", 100, "new")
        heard = line(0.5, "STORE_HEARD", store="st", epoch=1)
        again = line(2.5, "STORE_HEARD", store="st", epoch=2)
        for before, between, source, at, reason in (
            (new, "", "saving", 1.5, Reread.UNDER_WAY),
            (new, "", "new", 1.5, Reread.UNDER_WAY),
            (new, "", "new", 9.0, Reread.LOST),
            (new, again, "new", 9.0, Reread.RESTARTED),
            (("p", 100, "no room"), "", "no room", 9.0, Reread.UNSAVED),
            (("p", 100, "closed"), "", "new", 9.0, Reread.UNSAVED),
            (new, "", "unheard", 9.0, Reread.NO_CONTACT),
            (new, "", "replaced", 9.0, Reread.REPLACED),
        ):
            found = account(
                [
                    heard,
                    placed(1.0, "a", before),
                    between,
                    placed(at, "b", ("p", 100, source)),
                ]
            )
            self.assertEqual({reason: 100}, dict(found.rereads), source)
            self.assertEqual(100, found.first_reads)

    def test_what_is_found_counts_as_kept(self):
        found = account(
            [
                placed(1, "a", ("p", 100, "new")),
                placed(9, "b", ("p", 100, "cache"), ("q", 50, "engine")),
            ]
        )
        self.assertEqual(150, found.kept)
        self.assertEqual(100, found.first_reads)

    def test_behind_a_missing_part_nothing_is_found(self):
        rows = ("p", 100, "new"), ("q", 50, "cache")
        found = account([placed(1, "a", *rows)])
        self.assertEqual((0, 100), (found.kept, found.first_reads))
        self.assertEqual({Reread.BEHIND: 50}, dict(found.rereads))

    def test_salts_are_kept_apart(self):
        found = account(
            [
                placed(1, "a", ("p", 100, "new")),
                placed(9, "b", ("p", 100, "new"), salt="t"),
            ]
        )
        self.assertEqual(200, found.first_reads)

    def test_a_picture_is_drawn(self):
        folder = tempfile.mkdtemp()
        path = os.path.join(folder, "day.svg")
        found = account([placed(1, "a", ("p", 9, "new")), done(2, "a")])
        draw_account(found, path)
        with open(path, encoding="utf-8") as picture:
            self.assertIn("read again", picture.read())
