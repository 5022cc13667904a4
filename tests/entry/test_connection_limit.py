"""Tests of who gives way when there are too many connections."""

from testtools import TestCase

from magnolialug.entry.connectionlimit import ConnectionLimit, max_connections
from magnolialug.standin.caller import request
from tests.gatewaycluster import GatewayCluster


class _Conn:
    def __init__(self, conns, phase_started_at, has_served=False, idles=True):
        self.phase_started_at = phase_started_at
        self.has_served = has_served
        self.closed = False
        self._idles = idles
        self._conns = conns
        conns.append(self)

    def is_idling(self, now):
        return self._idles

    def close_idle(self):
        self.closed = True

    def leave(self):
        self._conns.remove(self)


class ConnectionLimitTest(TestCase):
    """Idle connections give way, the worst first."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.conns = []
        self.limit = ConnectionLimit(self.conns, 20, lambda: self.now)

    def test_nothing_is_closed_below_the_limit(self):
        for number in range(19):
            _Conn(self.conns, number)
        self.assertTrue(self.limit.has_room())
        self.assertFalse(any(conn.closed for conn in self.conns))

    def test_one_that_never_sent_a_request_goes_first(self):
        """Guards against a kept connection that ends for a silent one."""
        for number in range(19):
            _Conn(self.conns, number, has_served=True)
        silent = _Conn(self.conns, 99.0)
        self.assertTrue(self.limit.has_room())
        self.assertTrue(silent.closed)
        closed = [c.phase_started_at for c in self.conns if c.closed]
        self.assertEqual([0, 1, 2, 3, 99.0], sorted(closed))

    def test_busy_connections_keep_new_ones_out(self):
        for number in range(20):
            _Conn(self.conns, number, idles=False)
        self.assertFalse(self.limit.has_room())

    def test_those_that_close_still_count_as_descriptors(self):
        """Guards against more connections than there are descriptors."""
        for number in range(200):
            if self.limit.has_room():
                _Conn(self.conns, number)
            self.now += 0.1
        self.assertLessEqual(len(self.conns), 22)
        for conn in [conn for conn in self.conns if conn.closed]:
            conn.leave()
        self.assertTrue(self.limit.has_room())

    def test_settings_bound_the_number(self):
        self.assertEqual(180, max_connections(500))
        self.assertLess(max_connections(100), 100)
        self.assertLess(0, max_connections(None))


class RefusedConnectionTest(TestCase):
    """Connections that were refused do not keep new ones out."""

    def test_a_new_caller_is_served_beside_refused_ones(self):
        """Guards against callers that come again at once after a refusal."""
        cluster = GatewayCluster(engines=0)
        gate = cluster.gateway._connection_gate
        gate._limit.limit = 20
        for number in range(20):
            data = request("/book/x", f"r{number}", key="", body=b"x" * 99)
            cluster.caller().pipe.write(data[:-1])
        cluster.pass_time(0.1)
        self.assertEqual(20, len(cluster.gateway.factory.channels))
        caller = cluster.send("/read/x")
        cluster.pass_time(0.2)
        self.assertEqual(200, caller.last.status)
