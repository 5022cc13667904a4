"""Headers of endpoints' answers."""

from testtools import TestCase

from magnolialug.carrier.reader import Head
from magnolialug.platform.requests import read_answer
from magnolialug.result import Code


def limit_of(*values):
    """Returns the limit of an answer that names these."""
    headers = [(b"server-limit", value) for value in values]
    return read_answer(Head(200, b"OK", headers)).send_limit


class SendLimitTest(TestCase):
    """Guards against limits that are misread or stop the process."""

    def test_decimal_numbers(self):
        self.assertEqual(2.8, limit_of(b"2.8"))
        self.assertEqual(0.0, limit_of(b" 0 "))
        self.assertEqual(1e29, limit_of(b"1" + 29 * b"0"))
        self.assertIsNone(limit_of())

    def test_malformed_limits_are_numbered_errors(self):
        for text in (b"", b"-1", b"nan", b"1e9", b"2,8", b"many", 99 * b"9"):
            refused = limit_of(text)
            self.assertEqual(Code.BAD_SEND_LIMIT, refused.code)
            self.assertEqual("server-limit", refused.field)
            self.assertEqual(text.decode()[:80], refused.value)

    def test_two_limits_are_malformed(self):
        self.assertEqual(Code.BAD_SEND_LIMIT, limit_of(b"2", b"3").code)
