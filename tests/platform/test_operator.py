"""The operator's configuration as it lies in the store."""

import msgspec
from testtools import TestCase

from magnolialug.config.routing import RouteType
from magnolialug.platform.operator import (
    read_evacuation,
    read_routing,
    read_weights,
)
from magnolialug.platform.registry import read_listed
from magnolialug.result import Code, Failure
from tests.gatewaycluster import config

STORE = {
    "name": "s",
    "kvStoreAddr": "10.0.0.1:80",
    "zone": "a",
    "kvCapacityTokens": 1000,
    "first_ms": 6.0,
    "managed": True,
}


class RoutingTest(TestCase):
    """Rows in the project's words and units; what is wrong is named."""

    def read(self, operator):
        """Returns the routing and the problems of a configuration."""
        return read_routing(msgspec.json.encode(operator))

    def test_routes_services_teams_and_limits(self):
        routing, problems = self.read(config(7))
        self.assertEqual([], problems)
        self.assertEqual(7, routing.version)
        routes = {route.name: route for route in routing.routes}
        self.assertEqual(3.0, routes["read"].timeout_s)
        self.assertEqual(0.4, routes["read"].target_s)
        forms = {name: route.form for name, route in routes.items()}
        self.assertIs(RouteType.NON_IDEMPOTENT, forms["book"])
        self.assertIs(RouteType.STREAMING, forms["draft"])
        repeatable = {n for n, route in routes.items() if route.repeatable}
        self.assertEqual({"read", "check", "open"}, repeatable)
        engine = routing.services["llm"].engine
        self.assertEqual(140000, engine.memory_tokens)
        self.assertEqual(15.0, routing.limits.idle_s)
        self.assertEqual([False, True], [t.isolated for t in routing.teams])

    def test_stores(self):
        services = [*config()["services"], STORE]
        routing, _ = self.read(config(services=services))
        store = routing.services["s"].store
        self.assertEqual(("10.0.0.1", 80), store.address)
        self.assertEqual(0.006, store.first_s)

    def test_unknown_fields_are_passed_over(self):
        operator = config(extra=1)
        operator["routes"][0]["extra"] = {"a": 1}
        routing, problems = self.read(operator)
        self.assertEqual([], problems)
        self.assertEqual(5, len(routing.routes))

    def test_a_malformed_row_is_named_and_the_others_stand(self):
        cases = (
            # list, row, change, what the reason names
            ("routes", 0, {"timeoutMs": "soon"}, "timeoutMs"),
            ("routes", 1, {"routeType": "maybe"}, "maybe"),
            ("routes", 2, {"host": None}, "host"),
            ("services", 0, {"maxConnections": []}, "maxConnections"),
            ("services", 1, {"kvStoreAddr": "nowhere"}, ""),
            ("tenants", 0, {"apiKeys": "key"}, "apiKeys"),
        )
        for field, number, change, named in cases:
            operator = config()
            rows = [dict(row) for row in operator[field]]
            rows[number].update(change)
            operator[field] = rows
            routing, problems = self.read(operator)
            self.assertEqual(1, len(problems), change)
            (problem,) = problems
            self.assertEqual(Code.BAD_CONFIG_VALUE, problem.code)
            self.assertIn(f"op/config: {field}[", problem.field)
            self.assertIn(named, problem.reason)
            self.assertEqual(1, routing.version)

    def test_what_is_no_configuration(self):
        for value in (b"", b"[]", b"{}", b'{"version": "x"}', b"\xff"):
            self.assertIsInstance(read_routing(value), Failure, value)


class EntriesTest(TestCase):
    """Other values that the store holds."""

    def test_named_weights(self):
        named = read_weights("k", b'{"model": "m", "version": 3, "x": 1}')
        self.assertEqual(("m", 3), (named.model, named.version))
        for value in (b"", b"{}", b'{"model": "m", "version": "3"}'):
            failure = read_weights("op/version/m", value)
            self.assertEqual("op/version/m", failure.field, value)

    def test_endpoints(self):
        row = {
            "service": "llm",
            "address": "10.0.0.1:80",
            "zone": "a",
            "state": "draining",
            "slots": 128,
            "version": "v1",
            "coldRemainingMs": 1500,
            "sequence": 9,
            "models": [{"name": "m", "version": 2, "adapters": []}],
        }
        listed = read_listed("servers/i-1", msgspec.json.encode(row))
        self.assertEqual("i-1", listed.endpoint)
        self.assertTrue(listed.leaving)
        self.assertEqual({"m": 2}, listed.weights)
        self.assertEqual(1.5, listed.cold_s)

    def test_malformed_endpoints_are_named(self):
        for value in (
            b"",
            b"{}",
            b'{"service": "a", "address": "10.0.0.1", "zone": "a"}',
            b'{"service": "a", "address": "x:y", "zone": "a"}',
        ):
            failure = read_listed("servers/i-1", value)
            self.assertEqual(Code.BAD_ENTRY, failure.code, value)
            self.assertEqual("servers/i-1", failure.field, value)


class EvacuationTest(TestCase):
    """Orders to evacuate an availability zone."""

    ZONES = ("a", "b")

    def test_the_key_names_the_zone(self):
        zone = read_evacuation("op/evacuate/a", b"{}", self.ZONES)
        self.assertEqual("a", zone)

    def test_an_unknown_zone_is_named_with_those_that_exist(self):
        failure = read_evacuation("op/evacuate/c", b"{}", self.ZONES)
        self.assertIs(Code.BAD_EVACUATION, failure.code)
        self.assertEqual("op/evacuate/c", failure.field)
        self.assertEqual("c", failure.value)
        self.assertIn("a, b", failure.reason)

    def test_a_value_that_is_no_object_is_named(self):
        for value in (b"", b"\xff", b"[]", b"1"):
            failure = read_evacuation("op/evacuate/a", value, self.ZONES)
            self.assertIsInstance(failure, Failure)
            self.assertIs(Code.BAD_EVACUATION, failure.code)
            self.assertEqual("op/evacuate/a", failure.field)

    def test_a_service_tells_what_its_cold_endpoints_tolerate(self):
        services = [{"name": "s", "coldStartS": 3.0, "coldPerS": 17.0}]
        value = msgspec.json.encode(config(services=services))
        routing, problems = read_routing(value)
        self.assertEqual([], problems)
        self.assertEqual(3.0, routing.services["s"].cold_start_s)
        self.assertEqual(17.0, routing.services["s"].cold_per_s)
