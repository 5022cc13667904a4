"""Which fields of a request determine its digest."""

from testtools import TestCase

from magnolialug.policy.requestdigest import request_digest


class DigestTest(TestCase):
    """The team, the path and the body are hashed separately."""

    def test_the_same_request_has_the_same_digest(self):
        self.assertEqual(
            request_digest("team-a", b"/x?y=1", b"body"),
            request_digest("team-a", b"/x?y=1", b"body"),
        )

    def test_fields_count_separately_without_shifting_boundaries(self):
        rows = [
            ("team-a", b"/x", b"body"),
            ("team-b", b"/x", b"body"),
            ("team-a", b"/x?y", b"body"),
            ("team-a", b"/x", b"bodies"),
            ("team-a", b"/xbody", b""),
            ("team-a/", b"x", b"body"),
            ("", b"team-a/x", b"body"),
        ]
        self.assertEqual(len(rows), len({request_digest(*row) for row in rows}))
