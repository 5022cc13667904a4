"""Entries of the key-value service that other writers have spoilt."""

import msgspec
from testtools import TestCase

from magnolialug.standin import kvface
from magnolialug.standin.operatorconfig import route
from tests.gatewaycluster import GatewayCluster, config
from tests.loglines import collect_lines

_DEEP = b'{"spec":' * 1500
_HUGE = b"9" * 5000
_WIDE = b"9" * 40
# A value that the service's stand-in sends as no base64.
_SPOILT = b"spoilt"


def _listed(**changes):
    """Returns the value of an endpoint's entry."""
    row = {
        "service": "desk",
        "address": "10.1.0.99:8080",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    return msgspec.json.encode({**row, **changes})


# Key and value of entries that no reader can use.
UNREADABLE = (
    ("servers/i-other", _DEEP),
    ("servers/i-other", b"[" * 100_000),
    ("servers/i-other", _listed(address=f"10.1.0.99:{_HUGE.decode()}")),
    ("servers/i-other", _listed(address="10.1.0.99:\u0661\u0662")),
    ("servers/i-other", _listed(address="fe80::1%eth0:80")),
    ("servers/i-other", _listed(slots=10**30)),
    ("servers/i-other", _listed(born=10**30)),
    ("servers/i-other", _listed(version="v" * 70_000)),
    ("servers/i-other", b'{"slots":' + _HUGE + b"}"),
    ("servers/i-\u0151", _listed()),
    ("servers/i\r\nX-Tenant-Id: team-b", _listed()),
    ("servers/", b"\xff\xfe"),
    ("op/version/m", _DEEP),
    ("op/version/m", b'{"model":"m","version":' + _WIDE + b"}"),
    ("op/evacuate/b", _DEEP),
    ("magnolialug/entries/front-9", _DEEP),
    ("magnolialug/entries/front-9", b'{"host":"x","port":1,"zone":"a"}'),
    (
        "magnolialug/entries/front-9",
        b'{"host":"10.0.0.9","port":70000,"zone":"a"}',
    ),
    ("magnolialug/entry-count", _DEEP),
    ("magnolialug/entry-count", b'{"entries":' + _WIDE + b"}"),
    ("magnolialug/bars/00ff", _DEEP),
    ("magnolialug/orders/holder", _DEEP),
)


def _with_route(version):
    """Returns a configuration with one more route."""
    routes = [*config()["routes"], route("new", "/new/", "desk")]
    return config(version, routes=routes)


class UnreadableEntryTest(TestCase):
    """One entry that cannot be read, among sound ones."""

    def test_changes_behind_an_unreadable_entry_are_applied(self):
        """Guards against one entry that ends the watch of all keys."""
        for key, value in UNREADABLE:
            lines = collect_lines(self)
            cluster = GatewayCluster()
            cluster.write(key, value)
            cluster.pass_time(1)
            cluster.configure(_with_route(2))
            added = cluster.add_desk()
            cluster.pass_time(2)
            shown = (key, value[:40])
            self.assertEqual(200, cluster.ask("/new/x").last.status, shown)
            peers = cluster.gateway.directory.peers
            self.assertIn(added.instance, peers, shown)
            self.assertEqual(4 + 1, len(peers), shown)
            refused = [line for line in lines if "_REFUSED" in line]
            self.assertNotEqual([], refused, shown)

    def test_a_gateway_starts_beside_unreadable_entries(self):
        """Guards against a snapshot that one entry spoils."""
        cluster = GatewayCluster()
        for key, value in UNREADABLE:
            cluster.write(key, value)
        fresh = cluster.start("front-2", 2)
        cluster.pass_time(2)
        self.assertTrue(fresh.ready())
        caller = cluster.send("/read/x", cluster.caller(("10.0.0.2", 80)))
        cluster.pass_time(1)
        self.assertEqual(200, caller.last.status)

    def test_an_unreadable_configuration_leaves_the_old_one(self):
        """Guards against a configuration that cannot be read."""
        for value in (
            _DEEP,
            b'{"version":' + _HUGE + b"}",
            b'{"version":2,"routes":7}',
            b"[2]",
            b'{"version":2,"routes":[{"name":' + _DEEP,
        ):
            cluster = GatewayCluster()
            cluster.write("op/config", value)
            cluster.pass_time(1)
            cluster.configure(_with_route(3))
            cluster.pass_time(2)
            self.assertEqual(200, cluster.ask("/new/x").last.status, value[:40])

    def test_a_value_that_is_no_base64_spoils_no_answer(self):
        """Guards against one value that makes each answer unreadable."""
        encode = kvface.b64encode

        def spoil(value):
            return b"?" if value == _SPOILT else encode(value)

        self.patch(kvface, "b64encode", spoil)
        lines = collect_lines(self)
        cluster = GatewayCluster()
        fresh = cluster.start_behind(("10.9.9.8", 1), "front-2", 2)
        cluster.pass_time(1)
        cluster.write("servers/i-other", _SPOILT)
        cluster.pass_time(1)
        cluster.configure(_with_route(2))
        cluster.pass_time(2)
        caller = cluster.send("/new/x", cluster.caller(("10.0.0.2", 80)))
        cluster.pass_time(1)
        self.assertEqual(200, caller.last.status)
        self.assertTrue(fresh.ready())
        refused = [row for row in lines if "KV_NONSENSE" in row]
        self.assertIn("servers/i-other", refused[0])
