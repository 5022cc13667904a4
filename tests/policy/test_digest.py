"""What makes two requests the same."""

from testtools import TestCase

from magnolialug.policy.digest import digest_of


class DigestTest(TestCase):
    """Caller, path and body count, each by itself."""

    def test_the_same_request_has_the_same_digest(self):
        self.assertEqual(
            digest_of("team-a", b"/x?y=1", b"body"),
            digest_of("team-a", b"/x?y=1", b"body"),
        )

    def test_each_field_counts_and_none_runs_into_the_next(self):
        rows = [
            ("team-a", b"/x", b"body"),
            ("team-b", b"/x", b"body"),
            ("team-a", b"/x?y", b"body"),
            ("team-a", b"/x", b"bodies"),
            ("team-a", b"/xbody", b""),
            ("team-a/", b"x", b"body"),
            ("", b"team-a/x", b"body"),
        ]
        self.assertEqual(len(rows), len({digest_of(*row) for row in rows}))
