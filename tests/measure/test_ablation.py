"""Each mechanism can be switched off where the table says."""

import pathlib

from testtools import TestCase

from magnolialug.measure.ablation import MECHANISMS, Mechanism, switched_off

PACKAGE = pathlib.Path(__file__).parent.parent.parent / "magnolialug"


class AblationTest(TestCase):
    """The table of mechanisms and the code it speaks of."""

    def test_every_mechanism_is_where_the_table_says(self):
        """A constant is renamed; the table is not.

        Symptom: a mechanism seems to be worth nothing. Cause: nothing was
        switched off.
        """
        for row in MECHANISMS:
            source = (PACKAGE / row.module).read_text("utf-8")
            changed = switched_off(source, row)
            self.assertEqual(row.name != "nothing", changed != source, row)
            compile(changed, row.module, "exec")

    def test_an_unknown_constant_is_an_error(self):
        row = Mechanism("x", "x.py", "_X", "0")
        self.assertRaises(LookupError, switched_off, "_Y = 1\n", row)
