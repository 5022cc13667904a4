"""Decisions of the gateway, each under the load pattern that it handles."""

from random import Random

from testtools import TestCase

from magnolialug.config.routing import (
    CallerLimits,
    Route,
    RouteType,
    Routing,
    Share,
)
from magnolialug.policy.choice import Candidate, choose
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.health import Health
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.rank import rank
from magnolialug.policy.rollout import Engine, max_concurrent_loads, plan
from magnolialug.policy.routes import RouteTable, service_for
from magnolialug.policy.sharedload import EndpointState

ROUTE = Route("r", "h", "/", RouteType.IDEMPOTENT, (Share("s", 1.0),), 3, 1)


def prompt(unread=3000, out=50):
    """Returns a prompt with one part that no other prompt shares."""
    return Prompt("m", (Part("own", unread),), unread, out)


class RoutesTest(TestCase):
    """Lookup among many routes, and traffic splits."""

    def test_match_among_a_thousand_routes(self):
        routes = tuple(
            Route(
                f"r{n}",
                "h",
                f"/p{n}/",
                RouteType.IDEMPOTENT,
                (Share(f"s{n}", 1.0),),
                3,
                1,
            )
            for n in range(1000)
        )
        table = RouteTable(Routing(1, routes, {}, (), CallerLimits()))
        self.assertEqual("r77", table.match("h", "/p77/a/b/c").name)
        self.assertIsNone(table.match("h", "/p77"))
        self.assertIsNone(table.match("g", "/p77/"))

    def test_each_attempt_of_a_request_goes_to_the_same_service(self):
        shares = (Share("a", 1), Share("b", 3))
        route = Route("r", "h", "/", RouteType.IDEMPOTENT, shares, 3, 1)
        taken = [service_for(route, f"{n:x}") for n in range(4000)]
        self.assertEqual(
            taken, [service_for(route, f"{n:x}") for n in range(4000)]
        )
        self.assertTrue(850 < taken.count("a") < 1150, taken.count("a"))


class ChoiceTest(TestCase):
    """Sound endpoints are preferred; with none, the cheapest is used."""

    def test_cheapest_sound_then_cheapest_of_all(self):
        cases = (
            ([("a", 2, True), ("b", 1, True)], "b"),
            ([("a", 2, True), ("b", 1, False)], "a"),
            ([("a", 2, False), ("b", 1, False)], "b"),
            ([("b", 1, True), ("a", 1, True)], "a"),
            ([], None),
        )
        for rows, expected in cases:
            best = choose([Candidate(*row) for row in rows])
            self.assertEqual(expected, best.endpoint if best else None)


class HealthTest(TestCase):
    """The circuit breaker driven by request outcomes."""

    def test_pauses_grow_and_only_one_request_probes(self):
        health = Health()
        now, tries = 0.0, 0
        while now < 20.0:
            if health.usable(now):
                tries += 1
                health.record_failure(now)
            now += 0.01
        self.assertTrue(6 <= tries <= 10, tries)
        health.probing = True
        self.assertFalse(health.usable(now + 10))
        health.record_answer(True)
        self.assertTrue(health.usable(now + 10))

    def test_the_penalty_follows_the_share_of_failures(self):
        for share, low, high in ((0.0, 1, 1), (0.14, 1.05, 1.4), (0.5, 5, 12)):
            health, random = Health(), Random(1)
            for _ in range(300):
                health.record_answer(random.random() >= share)
            self.assertTrue(low <= health.penalty <= high, (share, health))


class RankTest(TestCase):
    """Short checks do not queue behind their own team's long drafts."""

    def test_team_first_then_route(self):
        cases = (
            # team, route, rank
            (0, 0, 0),
            (0, 1, 1),
            (1, 0, 3),
            (1, 2, 5),
            (None, 0, 0),
            (None, 1, 4),
            (5, 9, 9),
        )
        for team, route, expected in cases:
            self.assertEqual(expected, rank(team, route), (team, route))


class EngineLoadTest(TestCase):
    """Estimates from an entry's own requests and reports of others."""

    def test_less_urgent_work_delays_a_prompt_less_than_equally_urgent(self):
        load = EngineLoad(140_000, 128)
        load.sent("a", "", prompt(20_000), 20_000, 4, 0.0)
        behind = load.ahead_s(0)
        same = load.ahead_s(4)
        self.assertLess(behind, 0.5 * same)

    def test_the_load_of_other_entries_expires_without_new_reports(self):
        load = EngineLoad(140_000, 128)
        load.record_others(EndpointState("e", (30_000,), 30_000, 3), 0.0)
        self.assertGreater(load.ahead_s(0), 0.3)
        load.tick(0.4)
        self.assertGreater(load.ahead_s(0), 0.3)
        load.tick(1.0)
        self.assertEqual(0.0, load.ahead_s(0))

    def test_the_measured_rate_follows_a_slow_engine(self):
        load = EngineLoad(140_000, 128)
        for number in range(60):
            name = f"{number}"
            load.sent(name, "", prompt(10_000), 10_000, 0, float(number))
            load.first_event(name, number + 0.09 + 0.5)
            load.ended(name)
        self.assertTrue(18_000 < load.rate < 26_000, load.rate)

    def test_a_share_reports_pending_prefill_and_held_memory(self):
        load = EngineLoad(140_000, 128)
        load.sent("a", "", prompt(3000, 50), 1000, 3, 0.0)
        load.sent("b", "", prompt(2000, 20), 2000, 0, 0.0)
        load.first_event("b", 0.2)
        share = load.share(
            "e", 0.2, now=0.5, born_ms=7, weights={"m": 3}, min_weights={}
        )
        self.assertEqual((0, 0, 0, 1000), share.pending_prefill)
        self.assertEqual((5070, 2), (share.held, share.running))
        self.assertEqual((300, 500), (share.last_contact_ms, share.oldest_ms))
        self.assertEqual((7, {"m": 3}), (share.born_ms, share.weights))


class RolloutPlanTest(TestCase):
    """Which engines are closed in the course of a rollout."""

    def test_limit_of_concurrent_loads(self):
        for engines, most in ((1, 2), (5, 2), (6, 2), (20, 7), (24, 9)):
            self.assertEqual(most, max_concurrent_loads(engines))

    def test_a_rollout_completes_with_random_failures_and_loads(self):
        random = Random(3)
        for size in (1, 3, 6, 24):
            current, announced = set(), None
            for _ in range(200):
                rows = [
                    Engine(
                        f"e{n}",
                        random.randrange(9),
                        n in current,
                        announced is not None and f"e{n}" in announced.closed,
                        random.random() < 0.1,
                    )
                    for n in range(size)
                ]
                before, announced = announced, plan("m", 2, rows, announced)
                self.assertGreaterEqual(
                    announced.number, before.number if before else 1
                )
                for name in announced.closed:
                    if random.random() < 0.5:
                        current.add(int(name[1:]))
                if len(current) == size:
                    break
            self.assertEqual(size, len(current))

    def test_the_plan_keeps_its_number_if_nothing_changes(self):
        rows = [Engine("a", 0, False, True, False)]
        announced = plan("m", 2, rows, None)
        self.assertEqual(announced, plan("m", 2, rows, announced))
