"""Ends of connections that are slow, and ends that are gone, at a process."""

import contextlib
import signal
import socket
import threading
import time

from testtools import TestCase

from tests.gatewayprocess import (
    GatewayProcess,
    Limits,
    callers_ports,
    request,
    status_of,
)
from tests.silentsocket import drop_all

_ANSWER_BYTES = 1_000_000
_BODY = b"x" * 1_000_000
_WINDOW_BYTES = 4096
# More than the kernel's buffers of all connections of an answer take.
_BUFFERS_BYTES = 12_000_000
_TIMEOUT_S = 20.0
_PAUSES_S = (3.0, 4.0)
# A peer that acknowledges nothing is given up after this time, in seconds.
_SILENCE_S = 1.5
# Two checks, and what a busy machine is late by.
_LATE_S = 1.0
# The process is suspended for this long, more than the silence.
_SUSPENDED_S = 4.0
# Between two probes of a window that has been closed for a while.
_PROBE_PAUSE_S = 1.0


class _Caller(threading.Thread):
    """Reads one answer, with pauses.

    Attributes:
      read: how many bytes it has read.
      error: why it read no further, empty if the connection was closed.
    """

    def __init__(self, address, data, pauses_s, size):
        super().__init__(daemon=True)
        self.read = 0
        self.size = size
        self.error = ""
        self.conn = socket.socket()
        self.conn.settimeout(_TIMEOUT_S)
        self.conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        self.conn.connect(address)
        self.conn.sendall(data)
        self._pauses_s = pauses_s

    def run(self):
        """Reads a little behind each pause, and the rest after the last."""
        try:
            for pause_s in self._pauses_s:
                time.sleep(pause_s)
                self.read += len(self.conn.recv(1024))
            while self.read < self.size:
                piece = self.conn.recv(65536)
                if not piece:
                    return
                self.read += len(piece)
        except OSError as exc:
            self.error = str(exc)

    @property
    def is_whole(self):
        """Whether the whole answer has arrived."""
        return self.read >= self.size


class _SlowPeerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.gateway = self.useFixture(GatewayProcess(Limits(memory_mb=300)))

    def read(
        self,
        how="x",
        pauses_s=_PAUSES_S,
        size=_ANSWER_BYTES,
        count=10,
        **headers,
    ):
        """Starts callers that read a long answer with pauses."""
        target = f"/read/{how}?size={size}"
        callers = [
            _Caller(
                self.gateway.front,
                request("GET", target, f"c{number}", **headers),
                pauses_s,
                size,
            )
            for number in range(count)
        ]
        for caller in callers:
            self.addCleanup(caller.conn.close)
            caller.start()
        return callers

    def check_whole(self, callers):
        for caller in callers:
            caller.join(_TIMEOUT_S)
        cut = [(c.read, c.error) for c in callers if not c.is_whole]
        self.assertEqual([], cut)

    def closed_after(self, conn):
        """Returns the seconds until the process has closed its end."""
        began = time.monotonic()
        port = conn.getsockname()[1]
        while port in callers_ports(self.gateway.front):
            if time.monotonic() - began > _TIMEOUT_S:
                break
            time.sleep(0.02)
        return time.monotonic() - began

    def connect(self, data):
        """Sends a request on a connection with a small window."""
        conn = socket.socket()
        self.addCleanup(conn.close)
        conn.settimeout(_TIMEOUT_S)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        conn.connect(self.gateway.front)
        conn.sendall(data)
        return conn


class SlowCallerTest(_SlowPeerTest):
    """Callers that acknowledge all and do not read for a while."""

    def test_answers_outlast_pauses_of_their_readers(self):
        """Guards against resets while a caller's window is closed."""
        self.check_whole(self.read())

    def test_answers_on_connections_that_close_outlast_pauses(self):
        """Guards against the same where the process has closed its end."""
        self.check_whole(self.read(Connection="close"))

    def test_short_answers_outlast_a_pause(self):
        """Guards against it where all of an answer is in the kernel."""
        size = 60_000
        conns = [
            self.connect(request("GET", f"/read/x?size={size}", "a", **headers))
            for headers in ({}, {"Connection": "close"})
        ]
        time.sleep(_PAUSES_S[0])
        for conn in conns:
            read = 0
            while read < size:
                piece = conn.recv(65536)
                self.assertNotEqual(b"", piece, read)
                read += len(piece)

    def test_answers_outlast_endpoints_that_cut_off_what_is_unread(self):
        """Guards against back pressure while there is memory to spare."""
        self.check_whole(
            self.read("impatient", (5.0,), _BUFFERS_BYTES, count=3)
        )

    def test_answers_outlast_a_suspension_of_the_gateway(self):
        """Guards against callers that are lost to a process that stands."""
        callers = self.read(pauses_s=(6.0,))
        time.sleep(1.5)
        self.gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(3.0)
        self.gateway.process.send_signal(signal.SIGCONT)
        self.check_whole(callers)

    def test_answers_outlast_a_planned_stop(self):
        """Guards against callers that are lost to the end of the process."""
        callers = self.read(pauses_s=(4.0,))
        time.sleep(0.5)
        self.gateway.process.send_signal(signal.SIGTERM)
        self.check_whole(callers)


class GoneCallerTest(_SlowPeerTest):
    """Callers whose path is lost; nothing tells the process."""

    def silenced(self, before_s, data, reads=False):
        """Silences a caller; returns when its connection is closed."""
        conn = self.connect(data)
        time.sleep(before_s)
        if reads:
            self.assertEqual(200, status_of(conn))
        self.assertIn(conn.getsockname()[1], callers_ports(self.gateway.front))
        drop_all(conn)
        return self.closed_after(conn)

    def long_read(self):
        return request("GET", f"/read/x?size={_ANSWER_BYTES}", "gone")

    def test_silence_with_a_closed_window_closes_the_connection(self):
        """Guards against answers that are kept for callers that are gone."""
        self.assertLess(
            self.silenced(0.1, self.long_read()), _SILENCE_S + _LATE_S
        )

    def test_silence_after_a_pause_closes_the_connection(self):
        """Guards against a probe that comes ever later."""
        for paused_s in (3.0, 6.0):
            self.assertLess(
                self.silenced(paused_s, self.long_read()),
                _SILENCE_S + _PROBE_PAUSE_S + _LATE_S,
            )

    def test_silence_while_idle_closes_the_connection(self):
        """Guards against idle connections that stay after their callers."""
        self.assertLess(
            self.silenced(
                0.3, request("GET", "/read/x?size=2", "idle"), reads=True
            ),
            2.0 + _LATE_S,
        )

    def test_silence_before_an_answer_closes_the_connection(self):
        """Guards against answers in flight to callers that are gone."""
        conn = self.connect(b"")
        data = request("GET", "/read/x?size=2000", "before")
        conn.sendall(data[:-1])
        time.sleep(0.5)
        conn.send(data[-1:])
        drop_all(conn)
        self.assertLess(self.closed_after(conn), 2.0 + _LATE_S)

    def test_silence_beside_a_suspension_closes_the_connection(self):
        """Guards against a time-out that a late process sets too late."""
        conn = self.connect(b"")
        data = request("GET", "/read/x?size=2000", "suspended")
        conn.sendall(data[:-1])
        time.sleep(0.5)
        drop_all(conn)
        conn.send(data[-1:])
        port = conn.getsockname()[1]
        limit = time.monotonic() + _TIMEOUT_S
        while port not in callers_ports(self.gateway.front, in_flight=True):
            self.assertLess(time.monotonic(), limit)
            time.sleep(0.01)
        self.gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(_SUSPENDED_S)
        self.gateway.process.send_signal(signal.SIGCONT)
        self.assertLess(self.closed_after(conn), _LATE_S)


class SlowEndpointTest(_SlowPeerTest):
    """Endpoints that do not read a body."""

    def book(self, how):
        """Sends long bookings; returns their statuses and times."""
        results = []

        def run(number):
            began = time.monotonic()
            with contextlib.closing(
                socket.create_connection(self.gateway.front, _TIMEOUT_S)
            ) as conn:
                conn.sendall(
                    request("POST", f"/book/{how}", f"{how}{number}", _BODY)
                )
                status = status_of(conn)
            results.append((status, time.monotonic() - began))

        threads = [threading.Thread(target=run, args=(n,)) for n in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def test_bodies_outlast_pauses_of_their_endpoints(self):
        """Guards against resets while an endpoint's window is closed."""
        statuses = [status for status, _ in self.book("pausing")]
        self.assertEqual([200] * 10, statuses)

    def test_silence_of_an_endpoint_ends_a_body(self):
        """Guards against callers that wait for an endpoint that is gone."""
        for status, took_s in self.book("silent"):
            self.assertEqual(502, status)
            self.assertLess(took_s, _SILENCE_S + _LATE_S)
