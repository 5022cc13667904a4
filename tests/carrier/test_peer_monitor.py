"""The monitor of peers, at real sockets."""

import socket
import time

from testtools import TestCase

from magnolialug.carrier import peermonitor
from magnolialug.carrier.peermonitor import PeerMonitor
from tests.silentsocket import drop_all

_SIZE = 1_000_000
_TICK_S = 0.25
_PAUSED_S = 6.0
# Bounds the wait for what never comes.
_WAIT_S = 10.0
# Between two probes of a peer on a kernel that cannot bound their pauses, the
# time without an answer, and two checks.
_GONE_S = 1.75 + 1.75 + 0.5


class _Transport:
    """A transport whose peer reads nothing."""

    def __init__(self, sock):
        self._sock = sock
        self.is_aborted = False

    def getHandle(self):
        return self._sock

    def getPeer(self):
        return self._sock.getpeername()

    def abortConnection(self):
        self.is_aborted = True


class _Case(TestCase):
    def setUp(self):
        super().setUp()
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        near = socket.create_connection(listener.getsockname())
        self.addCleanup(near.close)
        self.far, _ = listener.accept()
        self.addCleanup(self.far.close)
        self.far.settimeout(_WAIT_S)
        near.setblocking(False)
        self.near = near
        self.calls = []
        self.monitor = PeerMonitor(
            time.monotonic, lambda _, function: self.calls.append(function)
        )
        self.transport = _Transport(near)
        self.watched = self.monitor.watch(self.transport)
        self.assertEqual(_SIZE, near.send(b"x" * _SIZE))
        self.watched.record_write()

    def check_for(self, seconds):
        """Makes the checks; returns after how long the connection ended."""
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            time.sleep(_TICK_S)
            calls, self.calls[:] = list(self.calls), []
            for function in calls:
                function()
            error = self.near.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error or self.transport.is_aborted:
                break
        return time.monotonic() - began

    def read_all(self):
        """Returns how much the peer can read."""
        got = 0
        while got < _SIZE:
            piece = self.far.recv(65536)
            if not piece:
                break
            got += len(piece)
        return got

    def check_paused_and_gone(self, gone_s):
        self.check_for(_PAUSED_S)
        self.assertFalse(self.transport.is_aborted)
        drop_all(self.far)
        self.assertLess(self.check_for(_WAIT_S), gone_s)


class PeerMonitorTest(_Case):
    """On this kernel."""

    def test_reader_that_pauses_gets_all(self):
        """Guards against resets while a window is closed."""
        self.check_for(_PAUSED_S)
        self.assertEqual(_SIZE, self.read_all())

    def test_silence_after_a_pause_is_noticed(self):
        """Guards against probes that come ever later."""
        self.check_paused_and_gone(_GONE_S)

    def test_checks_end_when_all_has_been_read(self):
        """Guards against a timer for each idle connection."""
        self.check_for(1.0)
        self.read_all()
        self.check_for(1.0)
        self.assertEqual([], self.calls)


class OldKernelTest(_Case):
    """On a kernel that cannot bound the pauses between probes."""

    def setUp(self):
        super().setUp()
        self.patch(peermonitor, "limit_probe_pause", lambda sock: False)

    def test_reader_that_pauses_gets_all(self):
        """Guards against resets by the time-out that paces the probes."""
        self.check_for(_PAUSED_S)
        self.assertEqual(_SIZE, self.read_all())

    def test_silence_after_a_pause_is_noticed(self):
        """Guards against probes that come ever later."""
        self.check_paused_and_gone(_GONE_S)
