"""What the soak takes for a broken rule on limited request rates."""

from testtools import TestCase

from magnolialug.soak.limits import LimitChecks


class LimitChecksTest(TestCase):
    """One endpoint that limits its requests, and a machine that is calm."""

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.broken = []
        self.calm = True
        self.checks = LimitChecks(
            lambda: self.now,
            lambda machine, since: self.calm,
            lambda promise, detail, request: self.broken.append(promise),
        )

    def name(self, rate, told=True):
        """Names a limit until it has to be kept."""
        self.checks.name("i-1", rate)
        if told:
            self.checks.answered("i-1", "vm-0")
        self.now += 7.0

    def arrive(self, count, seconds=1.0):
        """Lets requests arrive over some time."""
        for _ in range(count):
            self.checks.arrived("i-1", "r", "vm-0")
            self.now += seconds / count

    def test_half_as_many_again_and_five_more_are_allowed(self):
        self.name(2.0)
        self.arrive(17)
        self.assertEqual([], self.broken)

    def test_one_more_is_found(self):
        self.name(2.0)
        self.arrive(18)
        self.assertEqual(["LIMIT"], self.broken)

    def test_what_comes_before_all_must_know_is_not_judged(self):
        self.checks.name("i-1", 0.0)
        self.checks.answered("i-1", "vm-0")
        self.arrive(30, seconds=2.5)
        self.assertEqual([], self.broken)

    def test_a_machine_that_was_not_told_is_not_counted(self):
        self.name(0.0, told=False)
        self.arrive(30)
        self.assertEqual([], self.broken)

    def test_a_machine_that_is_not_calm_is_not_counted(self):
        self.name(0.0)
        self.calm = False
        self.arrive(30)
        self.assertEqual([], self.broken)

    def test_a_lowered_limit_has_to_be_kept_later(self):
        self.name(20.0)
        self.checks.name("i-1", 0.0)
        self.arrive(30)
        self.assertEqual([], self.broken)
        self.now += 7.0
        self.arrive(6)
        self.assertEqual(["LIMIT"], self.broken)

    def test_an_ended_limit_is_not_kept(self):
        self.name(0.0)
        self.checks.end("i-1")
        self.arrive(30)
        self.assertEqual([], self.broken)
