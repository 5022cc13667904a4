"""What the soak takes for a broken rule on zones and cold endpoints."""

from testtools import TestCase

from magnolialug.soak.zones import COLD_S, EVACUATION_S, ZoneChecks


class ZoneChecksTest(TestCase):
    """One endpoint in zone a, and a machine that is calm."""

    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.broken = []
        self.details = []
        self.calm = True
        self.checks = ZoneChecks(
            lambda: self.now,
            lambda machine, since: self.calm,
            self.record,
        )

    def record(self, promise, detail, request):
        """Notes what the checks find."""
        self.broken.append(promise)
        self.details.append(detail)

    def arrive(self, count, seconds=0.0, held_s=0.0, machine="vm-0"):
        """Lets requests arrive over some time."""
        for _ in range(count):
            sent_at = self.now - held_s
            self.checks.arrived("i-1", "a", "r", machine, sent_at)
            self.now += seconds / count

    def test_what_arrives_within_the_bound_of_an_evacuation_is_allowed(self):
        self.checks.evacuate("a")
        self.now += EVACUATION_S
        self.arrive(1)
        self.assertEqual([], self.broken)

    def test_what_arrives_later_is_found(self):
        self.checks.evacuate("a")
        self.now += EVACUATION_S + 0.4
        self.arrive(1)
        self.assertEqual(["EVAC"], self.broken)

    def test_nothing_is_said_of_a_machine_that_is_not_calm(self):
        self.checks.evacuate("a")
        self.now += EVACUATION_S + 0.4
        self.calm = False
        self.arrive(1)
        self.assertEqual([], self.broken)

    def test_a_zone_that_is_taken_back_gets_work(self):
        self.checks.evacuate("a")
        self.now += EVACUATION_S + 0.4
        self.checks.take_back("a")
        self.arrive(1)
        self.assertEqual([], self.broken)

    def test_eighteen_in_a_second_are_too_many_for_a_cold_endpoint(self):
        self.checks.starts("i-1")
        self.arrive(17, 0.9)
        self.assertEqual([], self.broken)
        self.arrive(1)
        self.assertEqual(["FAILBACK"], self.broken)

    def test_a_finding_names_what_each_machine_sent(self):
        """Guards against findings that do not tell who sent too much."""
        self.checks.starts("i-1")
        self.arrive(4, 0.5)
        self.arrive(14, machine="vm-1")
        self.assertEqual(
            [
                "i-1 got 18 requests in a second, 0.50 s after it turned cold: "
                "4 by vm-0, 14 by vm-1"
            ],
            self.details,
        )

    def test_what_came_while_it_was_warm_does_not_count(self):
        """An endpoint is busy, and turns cold a moment later."""
        self.arrive(40, 0.5)
        self.checks.starts("i-1")
        self.arrive(10, 0.4)
        self.assertEqual([], self.broken)

    def test_what_was_held_on_its_way_does_not_count(self):
        self.checks.starts("i-1")
        self.arrive(30, 0.5, held_s=1.2)
        self.assertEqual([], self.broken)

    def test_a_warm_endpoint_gets_what_comes(self):
        self.checks.starts("i-1")
        self.now += COLD_S
        self.arrive(40, 0.5)
        self.assertEqual([], self.broken)
