"""A link to a sidecar that reads slowly, or that is gone, at real sockets."""

import socket
import struct
import threading
import time

from testtools import TestCase
from testtools.twistedsupport import AsynchronousDeferredRunTest
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from magnolialug.result import Code
from magnolialug.timing import sleep
from magnolialug.wire import messages as msg
from magnolialug.wire.connect import connect_link
from magnolialug.wire.link import SILENCE_TIMEOUT_S
from tests.silentsocket import drop_all

_TEXT = "x" * 3_000_000
_BITE_BYTES = 65_536
_PAUSE_S = 0.1
_SLOW_S = 5.0
# The heartbeat's interval, and what a busy machine is late by.
_LATE_S = 2.0
_STATUS = msg.Status(0.0, False, 0, 0, (), 1.0, 1.0, 0, 0, "w1", 1, 1)


class _Sidecar(threading.Thread):
    """Says that it lives, and reads a little at a time."""

    def __init__(self):
        super().__init__(daemon=True)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.conn = None
        self.read = 0
        self.is_ended = False

    def run(self):
        """Serves one connection."""
        self.conn, _ = self._listener.accept()
        frame = msg.encode(_STATUS)
        frame = struct.pack("!I", len(frame)) + frame
        told_at = 0.0
        while not self.is_ended:
            if time.monotonic() - told_at > 1.0:
                told_at = time.monotonic()
                self.conn.sendall(frame)
            self.read += len(self.conn.recv(_BITE_BYTES))
            time.sleep(_PAUSE_S)

    def close(self):
        """Closes its sockets."""
        self.is_ended = True
        self._listener.close()
        if self.conn is not None:
            self.conn.close()


class SlowLinkTest(TestCase):
    """A frame of megabytes to a sidecar."""

    run_tests_with = AsynchronousDeferredRunTest.make_factory(timeout=30)

    def test_a_slow_sidecar_keeps_its_link_and_a_silent_one_loses_it(self):
        """Guards against a slow reader that is taken for a dead one."""
        sidecar = _Sidecar()
        sidecar.start()
        self.addCleanup(sidecar.close)

        async def play():
            link = await connect_link(reactor, "127.0.0.1", sidecar.port)
            link.heartbeat = lambda: msg.Ping(1)
            ended = []
            link.on_down = lambda failure: ended.append(
                (failure.code, time.monotonic())
            )
            link.send(msg.ConfigDoc(1, "d", _TEXT))
            await sleep(reactor, _SLOW_S)
            self.assertEqual([], ended)
            self.assertGreater(sidecar.read, len(_TEXT) // 4)
            began = time.monotonic()
            drop_all(sidecar.conn)
            sidecar.is_ended = True
            await sleep(reactor, SILENCE_TIMEOUT_S + _LATE_S)
            ((code, at),) = ended
            self.assertEqual(Code.CONNECTION_SILENT, code)
            self.assertLess(at - began, SILENCE_TIMEOUT_S + _LATE_S)

        return ensureDeferred(play())
