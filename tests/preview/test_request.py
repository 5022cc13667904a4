"""What operators may ask, and what is wrong with the rest.

Guards against previews of a request that nobody sends: a value that is misread
gives an answer that looks right.
"""

from testtools import TestCase

from magnolialug.preview.request import read_preview
from magnolialug.result import Code
from tests.preview.asking import PROMPT, as_params


class RequestTest(TestCase):
    """Parameters of a query, read and checked."""

    def refused(self, **request):
        """Returns field and value of what is wrong."""
        failure = read_preview(as_params(request))
        self.assertEqual(Code.BAD_PREVIEW, failure.code)
        self.assertNotEqual("", failure.reason)
        return failure.field, failure.value

    def test_a_whole_request_is_read(self):
        found = read_preview(
            as_params({**PROMPT, "priority": 3, "avoid": "i-1, i-2"})
        )
        self.assertEqual(("draft", "team-a"), (found.route, found.team))
        self.assertEqual((2000, 100, 3), (found.input, found.output, 3))
        self.assertEqual({"i-1", "i-2"}, found.avoid)

    def test_a_bad_value_is_named_with_its_field(self):
        cases = {
            "input": "many",
            "output": "-1",
            "hint": "1e3",
            "parts": "aa",
            "priority": "10",
            "team": "",
            "avoid": ",",
            "colour": "red",
            "model": "m\r\nX-Tenant-Id: other",
        }
        for field, value in cases.items():
            request = {**PROMPT, field: value}
            self.assertEqual((field, value), self.refused(**request))

    def test_a_second_value_is_refused(self):
        """Guards against an answer about the other one of two values."""
        failure = read_preview({b"route": [b"draft", b"read"]})
        self.assertEqual(Code.BAD_PREVIEW, failure.code)
        self.assertEqual(("route", "read"), (failure.field, failure.value))

    def test_what_does_not_fit_together_is_refused(self):
        self.assertEqual("host", self.refused()[0])
        self.assertEqual("path", self.refused(host="h.example")[0])
        self.assertEqual("route", self.refused(route="a", host="h")[0])
        self.assertEqual("input", self.refused(route="a", input=5)[0])
        self.assertEqual("input", self.refused(route="a", model="m")[0])
        parts = {**PROMPT, "parts": "aa:1500,bb:501"}
        self.assertEqual("parts", self.refused(**parts)[0])
