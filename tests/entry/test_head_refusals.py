"""Tests of requests whose heads tell that they are refused."""

from testtools import TestCase

from magnolialug.standin.caller import request
from tests.gatewaycluster import GatewayCluster, config

_BODY = b"x" * 5000
_CASES = {
    "no key": (request("/book/x", "1", key="", body=_BODY), 401),
    "an unknown key": (request("/book/x", "1", key="none", body=_BODY), 401),
    "no route": (request("/none/x", "1", body=_BODY), 404),
}


class HeadRefusalTest(TestCase):
    """Bodies that nothing can come of are not waited for."""

    def test_refusal_comes_before_the_body(self):
        """Guards against bodies that are kept for a refusal."""
        for name, (data, status) in _CASES.items():
            cluster = GatewayCluster(engines=0)
            caller = cluster.caller()
            caller.pipe.write(data[:-1])
            cluster.pass_time(0.1)
            self.assertEqual(status, caller.last.status, name)
            cluster.pass_time(1.5)
            self.assertTrue(caller.closed, name)

    def test_whole_request_keeps_its_connection(self):
        """Guards against a new connection for each refusal."""
        for name, (data, status) in _CASES.items():
            cluster = GatewayCluster(engines=0)
            caller = cluster.caller()
            caller.pipe.write(data)
            cluster.pass_time(0.1)
            self.assertEqual(status, caller.last.status, name)
            caller.pipe.write(request("/book/x", "2", body=_BODY))
            cluster.pass_time(0.1)
            self.assertEqual(200, caller.last.status, name)

    def test_nothing_is_read_behind_a_refused_head(self):
        """Guards against a second answer behind a refusal that closes."""
        data, status = _CASES["no key"]
        cluster = GatewayCluster(engines=0)
        caller = cluster.caller()
        caller.pipe.write(data[:-1])
        cluster.pass_time(0.1)
        caller.pipe.write(data[-1:] + request("/read/x", "2"))
        cluster.pass_time(0.1)
        self.assertEqual([status], [row.status for row in caller.answers])
        self.assertEqual(0, cluster.ran("2"))

    def test_key_that_is_revoked_while_a_body_arrives_does_not_count(self):
        """Guards against a head that is judged by the routes of its time."""
        cluster = GatewayCluster(engines=0)
        caller = cluster.caller()
        data = request("/book/x", "1", body=_BODY)
        caller.pipe.write(data[:-1])
        cluster.pass_time(0.1)
        self.assertEqual([], caller.answers)
        tenants = [{"name": "team-a", "apiKeys": ["other"]}]
        cluster.configure(config(2, tenants=tenants))
        cluster.pass_time(1.5)
        caller.pipe.write(data[-1:])
        cluster.pass_time(0.1)
        self.assertEqual(401, caller.last.status)
        self.assertEqual(0, cluster.ran("1"))
