"""What a report tells of requests that were not served."""

from testtools import TestCase

from magnolialug.soak.historychecker import Form, Sent
from magnolialug.soak.unserved import describe_unserved


def sent(request_id, form=Form.DRAFT, **more):
    """Returns a request as its caller sent it."""
    row = Sent(request_id, form, "POST", "/x", b"", "team-a", "vm-1", 1.0, 3.0)
    for name, value in more.items():
        setattr(row, name, value)
    return row


class UnservedTest(TestCase):
    """Guards against a broken recovery whose cause cannot be told."""

    def test_it_tells_kind_machine_end_and_endpoint_of_each_group(self):
        rows = [sent("a", Form.READ, left_at=2.0, arrivals=[(1.1, "i-desk1")])]
        rows += [sent(name, status=503) for name in "bcd"]
        self.assertEqual(
            "3 draft at vm-1: status 503, reached no endpoint (b, c, ...); "
            "1 read at vm-1: caller left or was cut, reached i-desk1 (a)",
            describe_unserved(rows),
        )

    def test_it_tells_of_requests_that_wait_still(self):
        self.assertEqual(
            "1 draft at vm-1: no answer, reached no endpoint (a)",
            describe_unserved([sent("a")]),
        )
