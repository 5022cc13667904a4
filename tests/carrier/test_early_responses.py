"""Responses that end with the connection while the request is being written.

A server that answers early and closes resets what is still on its way to it; a
sound one closes its sending side only and reads on (RFC 9112, section 9.6).
"""

import enum
import socket
import threading

from testtools import TestCase
from testtools.twistedsupport import AsynchronousDeferredRunTest
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred

from magnolialug.carrier.client import Client, NoReply, Reply, request_bytes
from magnolialug.carrier.pool import Pool
from magnolialug.carrier.responsereceiver import End
from magnolialug.timing import sleep

_BLOCK = b"x" * 65536
_BLOCKS = 100
_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
_LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
_PART = b"part"
# Above the interval at which a connection is checked.
_READ_PAUSE_S = 0.6
_SETTLE_S = 0.3
_TIMEOUT_S = 3.0


class Way(enum.Enum):
    """How the server ends its response, and what it does with the request."""

    CLOSE = "closes its sending side, then the connection"
    PAUSE = "the same with a pause between the two"
    READ = "closes its sending side, and reads on"
    IGNORE = "closes its sending side, and reads no more"
    LENGTH = "ends a response that has a length, then closes"


class _Server(threading.Thread):
    def __init__(self, way, body):
        super().__init__(daemon=True)
        self._way = way
        self._body = body
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._stop = threading.Event()
        self.address = self._listener.getsockname()
        self.received = 0

    def run(self):
        """Serves one connection."""
        conn, _ = self._listener.accept()
        with conn:
            self.received = len(conn.recv(1024))
            head = _LENGTH_HEAD if self._way is Way.LENGTH else _HEAD
            conn.sendall(head + self._body)
            conn.shutdown(socket.SHUT_WR)
            if self._way is Way.PAUSE:
                self._stop.wait(_READ_PAUSE_S)
            elif self._way is Way.READ:
                self._stop.wait(_READ_PAUSE_S)
                while data := conn.recv(65536):
                    self.received += len(data)
            elif self._way is Way.IGNORE:
                self._stop.wait(2 * _TIMEOUT_S)

    def close(self):
        """Ends its pauses."""
        self._stop.set()
        self._listener.close()


class _Receiver:
    def __init__(self):
        self.data = b""
        self.done = Deferred()

    def on_head(self, head):
        """Takes no note of the head."""

    def on_data(self, data):
        self.data += data

    def on_end(self, end):
        self.done.callback(end)


class EarlyResponseTest(TestCase):
    """A client uploads while the response ends."""

    run_tests_with = AsynchronousDeferredRunTest.make_factory(timeout=30)

    def served(self, way, body=_PART):
        """Returns a server that is closed when the test ends."""
        self.server = server = _Server(way, body)
        server.start()
        self.addCleanup(server.close)
        return server

    async def end_of(self, way, body=_PART):
        """Returns how an exchange ended whose body is sent in blocks."""
        server = self.served(way, body)
        pool = Pool(reactor, server.address, 1, reactor.seconds)
        receiver = _Receiver()
        head = request_bytes("POST", "store", "/put", b"-")[:-1]
        head = head.replace(b": 1\r", b": %d\r" % (_BLOCKS * len(_BLOCK)))
        pending = pool.send(
            head, receiver, lambda head, is_first: True, [_BLOCK] * _BLOCKS
        )
        timer = reactor.callLater(_TIMEOUT_S, pending.time_out)
        end = await receiver.done
        if timer.active():
            timer.cancel()
        pool.close()
        server.close()
        await sleep(reactor, _SETTLE_S)
        self.assertEqual(0, pool.connection_count)
        return end

    async def reply_to(self, way):
        """Returns the reply to a call whose body is sent at once."""
        server = self.served(way)
        client = Client(reactor)
        request = request_bytes("POST", "store", "/put", _BLOCK * _BLOCKS)
        reply = await client.ask(server.address, request, _TIMEOUT_S)
        client.close()
        server.close()
        await sleep(reactor, _SETTLE_S)
        return reply

    def test_response_of_a_server_that_closes_is_not_whole(self):
        """Guards against a part that looks whole when its server breaks off."""

        async def check():
            for way in (Way.CLOSE, Way.PAUSE):
                for body in (_PART, b""):
                    end = await self.end_of(way, body)
                    self.assertIn(end, (End.RESET, End.CLOSED), (way, body))
                reply = await self.reply_to(way)
                self.assertIsInstance(reply, NoReply)

        return ensureDeferred(check())

    def test_response_of_a_server_that_reads_on_is_whole(self):
        """Guards against the loss of answers that sound servers give early."""

        async def check():
            self.assertIs(End.COMPLETE, await self.end_of(Way.READ))
            self.assertLess(_BLOCKS * len(_BLOCK), self.server.received)
            reply = await self.reply_to(Way.READ)
            self.assertIsInstance(reply, Reply)
            self.assertEqual(_PART, reply.body)

        return ensureDeferred(check())

    def test_response_of_a_server_that_reads_no_more_ends_in_time(self):
        """Guards against a wait for ever for bytes that nobody reads."""

        async def check():
            self.assertIs(End.SILENT, await self.end_of(Way.IGNORE))

        return ensureDeferred(check())

    def test_response_with_a_length_is_whole_at_once(self):
        """Guards against a wait where the length has told the end."""

        async def check():
            self.assertIs(End.COMPLETE, await self.end_of(Way.LENGTH))

        return ensureDeferred(check())
