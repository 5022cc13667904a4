"""Consumers of replies that end early, or have no valid status.

Real sockets: an upload is still being written when its reply ends.
"""

import contextlib
import enum
import socket
import threading

from testtools import TestCase
from testtools.twistedsupport import AsynchronousDeferredRunTest
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from magnolialug.carrier.client import Client
from magnolialug.ids import BlockId, EndpointId, ServiceName, ZoneId
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.platform.enginecalls import EngineCalls, OrderReply
from magnolialug.platform.enginehttp import EngineHttp, PlainHttp
from magnolialug.platform.http import HttpClient
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.platform.storehttp import StoreHttp
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.policy.storedblock import Tier
from magnolialug.result import Code, Failure
from magnolialug.sidecar.engine import EngineJob, Usage
from magnolialug.timing import sleep

_UPLOAD = "u" * 900_000
_BUFFER_BYTES = 65536
# Above the interval at which connections are checked, and an upload's time.
_SETTLE_S = 0.8
_PLAIN = b"a whole answer"
_EVENTS = (
    b'data: {"choices":[{"text":"a"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}'
    b"\n\ndata: [DONE]\n\n"
)
_STATUSES = (b"000", b"099", b"600", b"999")


class Way(enum.Enum):
    """What a server does behind its reply."""

    CLOSE = "closes, with the request unread"
    READ = "closes its sending side, and reads on"


class _Server(threading.Thread):
    """Gives the same reply to each request, one on a connection."""

    def __init__(self, reply, way):
        super().__init__(daemon=True)
        self._reply = reply
        self._way = way
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self.address = self._listener.getsockname()
        self.url = "http://{}:{}".format(*self.address)
        self.count = 0

    def run(self):
        """Serves until the listener is closed."""
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn):
        with conn, contextlib.suppress(ConnectionError):
            if not conn.recv(1024):
                return
            self.count += 1
            conn.sendall(self._reply)
            conn.shutdown(socket.SHUT_WR)
            while self._way is Way.READ and conn.recv(_BUFFER_BYTES):
                pass

    def close(self):
        """Takes no further connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


class EarlyReplyTest(TestCase):
    """Each consumer, with a server over real sockets."""

    run_tests_with = AsynchronousDeferredRunTest.make_factory(timeout=40)

    def setUp(self):
        super().setUp()
        # Runs last: the reactor closes connections in a later iteration.
        self.addCleanup(lambda: ensureDeferred(sleep(reactor, _SETTLE_S)))

    def served(self, reply, way=Way.READ):
        """Returns a server that is closed when the test ends."""
        server = _Server(reply, way)
        server.start()
        self.addCleanup(server.close)
        return server

    def http(self):
        """Returns a client that is closed when the test ends."""
        http = HttpClient(reactor)
        self.addCleanup(http.close)
        return http

    async def run_of(self, kind, server):
        """Returns the pieces and the end of a sidecar's run."""
        job = EngineJob("k", "m", "", _UPLOAD, "", 1, 0, max_bytes=10_000)
        pieces = []
        run = kind(self.http(), server.url).start(job, pieces.append)
        return pieces, await run.done

    def test_sidecar_takes_no_part_for_a_whole_answer(self):
        """Guards against a part of an answer at the caller of a sidecar."""

        async def check():
            for kind, body in ((PlainHttp, _PLAIN), (EngineHttp, _EVENTS)):
                for size in (0, len(body) // 3):
                    reply = b"HTTP/1.1 200 OK\r\n\r\n" + body[:size]
                    server = self.served(reply, Way.CLOSE)
                    pieces, end = await self.run_of(kind, server)
                    self.assertIsInstance(end, Failure, (kind, size))
                    self.assertEqual(Code.ENDPOINT_FAILED, end.code)
                    if kind is PlainHttp:
                        self.assertEqual([], pieces)
                    self.assertEqual(1, server.count, (kind, size))

        return ensureDeferred(check())

    def test_sidecar_takes_an_early_answer_that_is_whole(self):
        """Guards against the loss of answers that sound services give."""

        async def check():
            for kind, body in ((PlainHttp, _PLAIN), (EngineHttp, _EVENTS)):
                server = self.served(b"HTTP/1.1 200 OK\r\n\r\n" + body)
                pieces, end = await self.run_of(kind, server)
                self.assertIsInstance(end, Usage, kind)
                self.assertEqual(1, len(pieces))
                self.assertEqual(1, server.count)

        return ensureDeferred(check())

    def test_sidecar_takes_no_answer_without_a_valid_status(self):
        """Guards against an answer whose status nobody can interpret."""

        async def check():
            for status in _STATUSES:
                for kind, body in ((PlainHttp, _PLAIN), (EngineHttp, _EVENTS)):
                    server = self.served(_reply(status, body))
                    pieces, end = await self.run_of(kind, server)
                    self.assertIsInstance(end, Failure, (kind, status))
                    self.assertEqual([], pieces, (kind, status))
                    self.assertEqual(1, server.count, (kind, status))

        return ensureDeferred(check())

    def test_status_outside_100_to_599_is_no_success(self):
        """Guards against a status below 300 that passes for success."""

        async def check():
            for status in _STATUSES:
                for name, (call, body) in _CALLS.items():
                    server = self.served(_reply(status, body))
                    found = await call(self, server)
                    told = (name, status, found)
                    self.assertIsInstance(found, Failure, told)

        return ensureDeferred(check())

    def test_order_with_such_a_status_is_not_known_to_be_taken(self):
        """Guards against an order that counts as done, or as not done."""

        async def check():
            for status in _STATUSES:
                server = self.served(_reply(status, b"{}"))
                found = await _order(self, server)
                self.assertIs(OrderReply.UNKNOWN, found, status)
                self.assertEqual(1, server.count)

        return ensureDeferred(check())


def _reply(status, body):
    head = b"HTTP/1.1 %b OK\r\nContent-Length: %d\r\n\r\n"
    return head % (status, len(body)) + body


def _engine(server):
    return RegisteredEndpoint(
        EndpointId("e-1"),
        ServiceName("s"),
        server.address,
        ZoneId("z"),
        4,
    )


def _client(test):
    client = Client(reactor)
    test.addCleanup(client.close)
    return client


def _order(test, server):
    return EngineCalls(_client(test)).take_weights(
        _engine(server), "m", 1, "wait", "h", 1, 0, lambda notices: None
    )


def _report(test, server):
    calls = EngineCalls(_client(test))
    return calls.report(_engine(server), lambda notices: None)


def _kv(test, server):
    return KvHttp(_client(test), server.address)


def _store(test, server):
    return StoreHttp(test.http(), server.url)


def _parts(test, server):
    return CacheCalls(_client(test))


# Each with a body that would be taken from an answer of status 200.
_CALLS = {
    "report": (_report, b'{"sequence":12,"busy":true,"models":[],"born":34}'),
    "key": (
        lambda test, server: _kv(test, server).get("a"),
        b'{"key":"a","value":"MQ==","revision":1}',
    ),
    "snapshot": (
        lambda test, server: _kv(test, server).snapshot("a"),
        b'{"items":[],"asOf":123,"hasMore":false}',
    ),
    "watch": (
        lambda test, server: _kv(test, server).changes("a", 7, 0.1),
        b'{"events":[],"asOf":123}',
    ),
    "write": (
        lambda test, server: _kv(test, server).put_if("a", b"1", 0),
        b'{"revision":123}',
    ),
    "lease": (
        lambda test, server: _kv(test, server).keep(7),
        b'{"ttlMs":5000}',
    ),
    "stage": (
        lambda test, server: _store(test, server).stage("b", b"", Tier.DISK),
        b'{"generation":1}',
    ),
    "remove": (
        lambda test, server: _store(test, server).remove("b", 1),
        b"",
    ),
    "export": (
        lambda test, server: EngineHttp(test.http(), server.url).export_block(
            BlockId("b")
        ),
        b"block",
    ),
    "list": (
        lambda test, server: _parts(test, server).list(server.address),
        b'{"epoch":1,"next":23,"held":[],"partial":[],"born":4}',
    ),
    "free": (
        lambda test, server: _parts(test, server).free(
            server.address, 1, 0, []
        ),
        b'{"a":1}',
    ),
}
