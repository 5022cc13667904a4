"""Decisions of the gateway, each on the pattern of load that it answers."""

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
from magnolialug.policy.rollout import Engine, at_once, plan
from magnolialug.policy.routes import RouteTable, share_of
from magnolialug.policy.sharedload import EndpointState

ROUTE = Route("r", "h", "/", RouteType.IDEMPOTENT, (Share("s", 1.0),), 3, 1)


def prompt(unread=3000, out=50):
    """Returns a prompt of one part of its own."""
    return Prompt("m", (Part("own", unread),), unread, out)


class RoutesTest(TestCase):
    """Many routes, and splits."""

    def test_a_thousand_routes_match_as_one(self):
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

    def test_each_try_of_a_request_takes_the_same_share(self):
        shares = (Share("a", 1), Share("b", 3))
        route = Route("r", "h", "/", RouteType.IDEMPOTENT, shares, 3, 1)
        taken = [share_of(route, f"{n:x}") for n in range(4000)]
        self.assertEqual(
            taken, [share_of(route, f"{n:x}") for n in range(4000)]
        )
        self.assertTrue(850 < taken.count("a") < 1150, taken.count("a"))


class ChoiceTest(TestCase):
    """Sound endpoints first, but never nobody."""

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
    """A circuit breaker fed by requests."""

    def test_pauses_grow_and_one_request_probes(self):
        health = Health()
        now, tries = 0.0, 0
        while now < 20.0:
            if health.usable(now):
                tries += 1
                health.broke(now)
            now += 0.01
        self.assertTrue(6 <= tries <= 10, tries)
        health.probing = True
        self.assertFalse(health.usable(now + 10))
        health.answered(True)
        self.assertTrue(health.usable(now + 10))

    def test_a_share_of_failures_costs_its_tries(self):
        for share, low, high in ((0.0, 1, 1), (0.14, 1.05, 1.4), (0.5, 5, 12)):
            health, random = Health(), Random(1)
            for _ in range(300):
                health.answered(random.random() >= share)
            self.assertTrue(low <= health.penalty <= high, (share, health))


class RankTest(TestCase):
    """Short checks never queue behind their own team's long drafts."""

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
    """Estimates from what was sent and what came back."""

    def test_more_urgent_work_is_ahead_and_less_urgent_mostly_not(self):
        load = EngineLoad(140_000, 128)
        load.sent("a", "", prompt(20_000), 20_000, 4, 0.0)
        behind = load.ahead_s(0)
        same = load.ahead_s(4)
        self.assertLess(behind, 0.5 * same)

    def test_others_are_forgotten_when_nobody_tells_of_them(self):
        load = EngineLoad(140_000, 128)
        load.elsewhere(EndpointState("e", (30_000,), 30_000, 3), 0.0)
        self.assertGreater(load.ahead_s(0), 0.3)
        load.tick(0.4)
        self.assertGreater(load.ahead_s(0), 0.3)
        load.tick(1.0)
        self.assertEqual(0.0, load.ahead_s(0))

    def test_the_rate_follows_a_slow_engine(self):
        load = EngineLoad(140_000, 128)
        for number in range(60):
            name = f"{number}"
            load.sent(name, "", prompt(10_000), 10_000, 0, float(number))
            load.first_event(name, number + 0.09 + 0.5)
            load.ended(name)
        self.assertTrue(18_000 < load.rate < 26_000, load.rate)

    def test_a_share_tells_what_is_unread_and_held(self):
        load = EngineLoad(140_000, 128)
        load.sent("a", "", prompt(3000, 50), 1000, 3, 0.0)
        load.sent("b", "", prompt(2000, 20), 2000, 0, 0.0)
        load.first_event("b", 0.2)
        share = load.share(
            "e", 0.2, now=0.5, born_ms=7, weights={"m": 3}, least={}
        )
        self.assertEqual((0, 0, 0, 1000), share.reading)
        self.assertEqual((5070, 2), (share.held, share.running))
        self.assertEqual((300, 500), (share.heard_ms, share.oldest_ms))
        self.assertEqual((7, {"m": 3}), (share.born_ms, share.weights))


class RolloutPlanTest(TestCase):
    """Which engines are closed, over a whole rollout."""

    def test_at_most_so_many_at_once(self):
        for engines, most in ((1, 2), (5, 2), (6, 2), (20, 7), (24, 9)):
            self.assertEqual(most, at_once(engines))

    def test_a_rollout_ends_and_never_closes_too_many(self):
        random = Random(3)
        for size in (1, 3, 6, 24):
            current, told = set(), None
            for _ in range(200):
                rows = [
                    Engine(
                        f"e{n}",
                        random.randrange(9),
                        n in current,
                        told is not None and f"e{n}" in told.closed,
                        random.random() < 0.1,
                    )
                    for n in range(size)
                ]
                before, told = told, plan("m", 2, rows, told)
                self.assertGreaterEqual(
                    told.number, before.number if before else 1
                )
                for name in told.closed:
                    if random.random() < 0.5:
                        current.add(int(name[1:]))
                if len(current) == size:
                    break
            self.assertEqual(size, len(current))

    def test_nothing_new_is_told_when_nothing_changes(self):
        rows = [Engine("a", 0, False, True, False)]
        told = plan("m", 2, rows, None)
        self.assertEqual(told, plan("m", 2, rows, told))
