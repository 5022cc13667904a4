"""What the soak takes for a broken promise, row by row."""

from testtools import TestCase

from magnolialug.soak.historychecker import Form, HistoryChecker, Sent
from magnolialug.standin.caller import Answer
from magnolialug.standin.endpoint import Received

STAMP = {"x-response-stamp": "stamp.i-1", "x-request-id": "r"}


def sent(form=Form.BOOK):
    """Returns a request as its caller sent it."""
    return Sent("r", form, "POST", "/x", b"b", "team-a", "vm-0", 0.0, 3.0)


def received(**changes):
    """Returns the request as an endpoint got it."""
    headers = {
        "x-request-id": "r",
        "x-tenant-id": "team-a",
        "x-request-deadline-ms": "2900",
    }
    headers.update(changes.pop("headers", {}))
    row = {"method": "POST", "target": "/x", "body": b"b", **changes}
    return Received(headers=headers, names=[], **row)


def events(*rows):
    """Returns the bytes of a stream."""
    return b"".join(b"id: %d\ndata: %s\n\n" % row for row in rows)


class ServedTest(TestCase):
    """Guards against requests that recovery counts for the wrong side.

    A removed route is rightly denied, and neither served nor unserved. Nothing
    else may pass for that.
    """

    ANSWERS = (
        # status, whether the route had been removed, served, rightly denied
        (200, False, True, False),
        (404, False, False, False),
        (404, True, False, True),
        (200, True, False, False),
        (503, True, False, False),
        (0, True, False, False),
        (0, False, False, False),
    )

    def test_answers(self):
        for status, removed, served, denied in self.ANSWERS:
            row = sent(Form.PROBE)
            row.status, row.removed = status, removed
            found = (row.is_served, row.is_rightly_denied)
            self.assertEqual((served, denied), found, (status, removed))


class HistoryCheckerTest(TestCase):
    """Four events make a whole stream."""

    def history(self, form=Form.BOOK):
        """Returns a history with one request under way, and that request."""
        self.now = 0.1
        history = HistoryChecker(lambda: self.now, 4)
        row = sent(form)
        history.add(row)
        return history, row

    def found(self, history):
        """Returns the promises that broke."""
        history.finish()
        return [row.promise for row in history.violations]

    ANSWERS = (
        # form, status, body, whole, promises broken
        (Form.BOOK, 200, b"i-1|r|/x", True, []),
        (Form.BOOK, 200, b"i-1|other|/x", True, ["MIXED"]),
        (Form.BOOK, 502, b"", True, []),
        (Form.READ, 404, b"", True, ["DENIED"]),
        (Form.PROBE, 404, b"", True, []),
        (
            Form.DRAFT,
            200,
            events((1, b"r/i/1/v1"), (2, b"r/i/2/v1")),
            False,
            [],
        ),
        (
            Form.DRAFT,
            200,
            events((1, b"r/i/1/v1"), (2, b"r/i/2/v1")),
            True,
            ["ORDER"],
        ),
        (
            Form.DRAFT,
            200,
            events((1, b"r/i/1/v1"), (3, b"r/i/3/v1")),
            False,
            ["ORDER"],
        ),
        (
            Form.DRAFT,
            200,
            events((1, b"r/i/1/v1"), (2, b"r/j/2/v1")),
            False,
            ["ORDER"],
        ),
        (
            Form.CHECK,
            200,
            events((1, b"r/i/1/v1"), (2, b"r/j/2/v1")),
            False,
            [],
        ),
        (Form.CHECK, 200, events((1, b"q/i/1/v1")), False, ["MIXED"]),
    )

    def test_answers(self):
        for form, status, body, whole, promises in self.ANSWERS:
            history, row = self.history(form)
            answer = Answer(status, dict(STAMP), body, whole)
            history.answered(row, answer)
            self.assertEqual(promises, self.found(history), (form, body))

    def test_a_stream_over_two_tries(self):
        """Guards against pieces of two versions that nobody compares."""
        for software, promises in ((b"v1", []), (b"v2", ["ORDER"])):
            history, row = self.history(Form.CHECK)
            begun = events((1, b"r/i/1/v1"), (2, b"r/i/2/v1"))
            history.answered(row, Answer(200, dict(STAMP), begun, False))
            again = sent(Form.CHECK)
            again.request_id = "q"
            again.resumes, again.resume_after = "r", 2
            history.add(again)
            rest = ((3, b"q/j/3/" + software), (4, b"q/j/4/" + software))
            stamp = {**STAMP, "x-request-id": "q"}
            history.answered(again, Answer(200, stamp, events(*rest), True))
            self.assertEqual(promises, self.found(history), software)

    def test_a_success_without_its_mark(self):
        history, row = self.history()
        history.answered(row, Answer(200, {}, b"i-1|r|/x", True))
        self.assertEqual(["MIXED"], self.found(history))

    def test_a_refusal_of_what_has_run_or_runs_later(self):
        history, row = self.history()
        history.answered(row, Answer(503, {}, b"", True))
        history.ran["r"] += 1
        self.assertEqual(["REFUSED"], self.found(history))

    def test_a_second_run(self):
        history, _ = self.history()
        history.ran["r"] += 2
        self.assertEqual(["TWICE"], self.found(history))

    ARRIVALS = (
        ({}, "desk", []),
        ({"target": "/y"}, "desk", ["UNASKED"]),
        ({"body": b"c"}, "desk", ["UNASKED"]),
        ({"headers": {"x-tenant-id": "team-b"}}, "desk", ["UNASKED"]),
        ({"headers": {"authorization": "Token k"}}, "desk", ["UNASKED"]),
        ({}, "llm", ["ROUTE"]),
        ({"headers": {"x-expect-instance": "i-9"}}, "llm", []),
        ({"headers": {"x-request-deadline-ms": "9000"}}, "desk", ["BUDGET"]),
    )

    def test_arrivals(self):
        for changes, service, promises in self.ARRIVALS:
            history, _ = self.history()
            history.arrived("i-1", service, received(**changes), True)
            self.assertEqual(promises, self.found(history), changes)

    def test_an_arrival_long_after_its_caller_has_left(self):
        history, row = self.history()
        row.left_at = 0.1
        self.now = 0.8
        headers = {"x-request-deadline-ms": "2000"}
        history.arrived("i-1", "desk", received(headers=headers), True)
        self.assertEqual(["GONE"], self.found(history))

    def test_more_repeats_than_the_budget(self):
        history, row = self.history(Form.READ)
        row.arrivals = [(0.01 * n, "i-1") for n in range(60)]
        self.assertEqual(["BUDGET"], self.found(history))
