"""Slopes can be taken, and the capacity page worked out from them."""

import pathlib

from testtools import TestCase

from magnolialug.config.folder import read_folder
from magnolialug.measure import slope
from magnolialug.measure.capacity import capacity_rows
from magnolialug.measure.slopes import measure_slopes

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"


class SlopesTest(TestCase):
    """The measuring code itself, with one round each."""

    def test_every_row_of_the_page_has_its_slopes(self):
        """A change to a type leaves the measuring code behind.

        Symptom: the capacity page can no longer be made. Sequence: a
        struct's fields become keywords, its only other user is here. Cause:
        nothing ran this code but a person.
        """
        self.patch(slope, "_ROUNDS", 1)
        slopes = measure_slopes(read_folder(str(EXAMPLES / "tiszavirag")))
        rows = capacity_rows({row.name: row for row in slopes})
        self.assertEqual(
            {"gateway", "entry", "sidecar", "KV"}, {r.role for r in rows}
        )
        self.assertTrue(all(row.value >= 0 for row in rows))
