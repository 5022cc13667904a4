"""Tests of who gives way when there is no memory for all callers."""

from testtools import TestCase

from magnolialug.standin.caller import request
from tests.gatewaycluster import GatewayCluster, config

_KB = 1024
_LIMIT_BYTES = 1000 * _KB
_BODY = b"x" * (300 * _KB)
_LIMITS = {**config()["limits"], "maxBodyBytes": len(_BODY)}
NO_MEMORY = 503


class _PressureCase(TestCase):
    """A gateway with room for two of the largest bodies."""

    def setUp(self):
        super().setUp()
        operator = config(limits=_LIMITS)
        self.cluster = GatewayCluster(engines=0, operator=operator)
        self.budget = self.cluster.gateway.factory.memory.budget
        self.budget.limit_bytes = _LIMIT_BYTES
        self.names = iter(range(1, 1000))

    def begin(self, left=1):
        """Sends a body without its last bytes; returns its caller."""
        caller = self.cluster.caller()
        name = f"b{next(self.names)}"
        self.rest = request("/book/x", name, body=_BODY)
        caller.pipe.write(self.rest[: len(self.rest) - left])
        self.rest = self.rest[len(self.rest) - left :]
        self.cluster.pass_time(0.05)
        return caller

    def statuses(self, caller):
        return [answer.status for answer in caller.answers]


class PressureTest(_PressureCase):
    """The worst gives way, and no ordinary caller."""

    def test_no_room_is_told_before_the_body(self):
        """Guards against bodies that are read for nothing."""
        for _ in range(2):
            self.begin()
        caller = self.begin(left=len(_BODY))
        self.assertEqual([NO_MEMORY], self.statuses(caller))
        self.assertEqual("1.00", caller.last.headers["retry-after"])

    def test_ordinary_request_is_served_beside_large_ones(self):
        """Guards against the next ordinary caller giving way."""
        for _ in range(6):
            self.begin()
        caller = self.cluster.caller()
        caller.pipe.write(request("/book/x", "s", body=b"x" * _KB))
        self.cluster.pass_time(0.2)
        self.assertEqual([200], self.statuses(caller))

    def test_upload_that_lags_gives_way(self):
        """Guards against an upload that keeps its room without progress."""
        lagging = [self.begin() for _ in range(2)]
        self.cluster.pass_time(1.2)
        self.begin(left=0)
        self.cluster.pass_time(0.2)
        ends = [self.statuses(caller) for caller in lagging]
        self.assertEqual(1, ends.count([NO_MEMORY]), ends)

    def test_upload_that_is_on_pace_does_not_give_way(self):
        """Guards against large requests that end one another."""
        caller = self.begin(left=len(_BODY))
        rest = self.rest
        self.begin()
        for _ in range(10):
            self.cluster.pass_time(0.2)
            caller.pipe.write(rest[: 20 * _KB])
            rest = rest[20 * _KB :]
            # The other one lags, and gives way to one of these.
            self.begin(left=len(_BODY))
        caller.pipe.write(rest)
        self.cluster.pass_time(0.3)
        self.assertEqual([200], self.statuses(caller))

    def test_a_byte_now_and_then_is_no_pace(self):
        """Guards against an upload that keeps its room by single bytes."""
        caller = self.begin(left=20)
        rest = self.rest
        self.begin(left=len(_BODY))
        for _ in range(8):
            caller.pipe.write(rest[:1])
            rest = rest[1:]
            self.cluster.pass_time(0.2)
        for desk in self.cluster.desks.values():
            desk.work_s = 3.0
        for _ in range(2):
            self.begin(left=0)
            self.cluster.pass_time(0.1)
        self.assertEqual([NO_MEMORY], self.statuses(caller))

    def test_idle_connections_stay(self):
        """Guards against kept connections that are closed for no room."""
        idle = [self.cluster.send("/read/x") for _ in range(5)]
        self.cluster.pass_time(1.5)
        for _ in range(6):
            self.begin()
        for caller in idle:
            self.assertFalse(caller.closed)
            self.cluster.send("/read/x", caller)
        self.cluster.pass_time(0.3)
        for caller in idle:
            self.assertEqual([200, 200], self.statuses(caller))

    def test_small_uploads_do_not_give_way_for_nothing(self):
        """Guards against refusals that make no room for anybody."""
        caller = self.cluster.caller()
        data = request("/book/x", "s", body=b"x" * _KB)
        caller.pipe.write(data[:-1])
        for _ in range(3):
            self.begin(left=0)
        self.cluster.pass_time(0.001)
        self.cluster.pass_time(1.5)
        for desk in self.cluster.desks.values():
            desk.work_s = 3.0
        for _ in range(4):
            self.begin(left=0)
        caller.pipe.write(data[-1:])
        self.cluster.pass_time(5)
        self.assertEqual([200], self.statuses(caller))

    def test_nothing_is_refused_in_calm(self):
        for _ in range(20):
            caller = self.begin(left=0)
            self.cluster.pass_time(0.2)
            self.assertEqual([200], self.statuses(caller))


class ReleaseTest(_PressureCase):
    """Nothing stays counted, whichever way a request ends."""

    def check_empty(self):
        # Longer than a body may take.
        self.cluster.pass_time(40)
        self.assertEqual(0, self.budget.held_bytes)
        self.assertEqual(0, self.budget.large_bytes)

    def test_answers(self):
        caller = self.begin(left=0)
        self.cluster.pass_time(0.2)
        self.assertEqual([200], self.statuses(caller))
        caller.pipe.loseConnection()
        self.check_empty()

    def test_refusals(self):
        for data in (
            request("/none/x", "1", body=_BODY),
            request("/book/x", "2", body=_BODY + b"x"),
            request("/book/x", "3", body=_BODY)[:-1],
            b"nonsense\r\n\r\n",
            request("/book/x", "4")[:-3],
        ):
            caller = self.cluster.caller()
            caller.pipe.write(data)
        self.check_empty()

    def test_no_memory(self):
        for _ in range(6):
            self.begin()
        self.check_empty()

    def test_resets(self):
        for left in (0, 1, len(_BODY)):
            caller = self.begin(left=left)
            caller.pipe.abortConnection()
        self.check_empty()

    def test_callers_that_leave_bookings(self):
        for desk in self.cluster.desks.values():
            desk.work_s = 2.0
        caller = self.begin(left=0)
        caller.pipe.abortConnection()
        self.cluster.pass_time(0.5)
        self.assertLess(len(_BODY), self.budget.held_bytes)
        self.check_empty()

    def test_endpoints_that_fail(self):
        for desk in self.cluster.desks.values():
            desk.refuses = True
        self.begin(left=0)
        self.check_empty()
