"""Signals in series at a real gateway whose callers wait."""

import signal
import socket
import threading
import time

from testtools import TestCase

from tests.gatewayprocess import GatewayProcess, Limits, request, status_of

_CALLERS = 20
_GRACE_S = 8.0
_ANSWERED = 200
_UNKNOWN = 502


class StopSignalsTest(TestCase):
    """Every caller has an answer when the process has ended."""

    def setUp(self):
        super().setUp()
        self.gateway = self.useFixture(GatewayProcess(Limits()))
        self.statuses = []
        self.threads = []

    def book(self, work_s):
        """Sends bookings that take some time."""
        for number in range(_CALLERS):
            data = request(
                "POST", f"/book/x?work={work_s}", f"w{work_s}.{number}", b"x"
            )
            thread = threading.Thread(target=self.send, args=(data,))
            thread.start()
            self.threads.append(thread)

    def send(self, data):
        try:
            with socket.create_connection(self.gateway.front, 20) as conn:
                conn.sendall(data)
                self.statuses.append(status_of(conn))
        except OSError as exc:
            self.statuses.append(str(exc))

    def play(self, signals, work_s):
        """Sends signals, with pauses, to a process with callers."""
        self.book(work_s)
        time.sleep(1.5)
        began = time.monotonic()
        for pause_s, number in signals:
            time.sleep(pause_s)
            self.gateway.process.send_signal(number)
        self.gateway.process.wait(20)
        took_s = time.monotonic() - began
        for thread in self.threads:
            thread.join()
        return took_s

    def test_long_requests_are_answered_before_the_end(self):
        """Guards against resets at the end of the grace period."""
        took_s = self.play([(0, signal.SIGTERM)], 12)
        self.assertLess(took_s, _GRACE_S)
        self.assertEqual([_UNKNOWN] * _CALLERS, self.statuses)

    def test_a_repeated_stop_signal_ends_no_request(self):
        """Guards against a second SIGTERM that ends the process at once."""
        self.play([(0, signal.SIGTERM), (0.5, signal.SIGTERM)], 4)
        self.assertEqual([_ANSWERED] * _CALLERS, self.statuses)

    def test_hangups_beside_a_stop_end_no_request(self):
        """Guards against settings that are read while the process stops."""
        signals = [
            (0, signal.SIGHUP),
            (0.01, signal.SIGTERM),
            (0.01, signal.SIGHUP),
            (0.5, signal.SIGHUP),
        ]
        self.play(signals, 4)
        self.assertEqual([_ANSWERED] * _CALLERS, self.statuses)
