"""Calls to a store that reads slowly, or that is gone, at real sockets."""

import socket
import threading
import time

from testtools import TestCase
from testtools.twistedsupport import AsynchronousDeferredRunTest
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from magnolialug.carrier.client import Client, Reply, request_bytes
from magnolialug.carrier.responsereceiver import End
from magnolialug.timing import sleep
from tests.silentsocket import drop_all

_BODY = b"x" * 6_000_000
_PAUSE_S = 3.0
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Far above the time without an acknowledgement.
_TIMEOUT_S = 60.0
_GONE_S = 2.5
# The last check of the connection, and the timers of the call.
_SETTLE_S = 0.5


class _Server(threading.Thread):
    """Reads one request behind a pause, or never again."""

    def __init__(self, is_gone):
        super().__init__(daemon=True)
        self._is_gone = is_gone
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        self._conn = None

    def run(self):
        """Serves one connection."""
        self._conn, _ = self._listener.accept()
        self._conn.recv(1024)
        if self._is_gone:
            drop_all(self._conn)
            return
        time.sleep(_PAUSE_S)
        received = 1024
        while received < len(_BODY):
            received += len(self._conn.recv(65536))
        self._conn.sendall(_ANSWER)

    def close(self):
        """Closes its sockets."""
        self._listener.close()
        if self._conn is not None:
            self._conn.close()


class SlowStoreTest(TestCase):
    """A long write to a store."""

    run_tests_with = AsynchronousDeferredRunTest.make_factory(timeout=30)

    def write(self, is_gone):
        """Returns a deferred of the outcome and the seconds that it took."""
        server = _Server(is_gone)
        server.start()
        client = Client(reactor)
        request = request_bytes("POST", "store", "/put", _BODY)

        async def ask():
            began = time.monotonic()
            try:
                found = await client.ask(server.address, request, _TIMEOUT_S)
            finally:
                client.close()
                server.close()
            took_s = time.monotonic() - began
            await sleep(reactor, _SETTLE_S)
            return found, took_s

        return ensureDeferred(ask())

    def test_a_store_that_pauses_takes_the_write(self):
        """Guards against resets while the store's window is closed."""

        def check(result):
            self.assertIsInstance(result[0], Reply)

        return self.write(is_gone=False).addCallback(check)

    def test_a_store_that_is_gone_ends_the_write(self):
        """Guards against a call that waits for its whole time-out."""

        def check(result):
            self.assertEqual(End.RESET, result[0].end)
            self.assertLess(result[1], _GONE_S)

        return self.write(is_gone=True).addCallback(check)
