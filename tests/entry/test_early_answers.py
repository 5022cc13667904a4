"""Endpoints that end their answers while the request is being uploaded.

Run as a module: the platform of one gateway, whose endpoints answer as the
queries of a request's target say.
"""

import asyncio
import collections
import contextlib
import enum
import json
import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qsl, urlsplit

import fixtures
import msgspec
from testtools import TestCase
from twisted.internet import reactor
from twisted.web.server import Site

from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.standin.operatorconfig import route
from tests.gatewayprocess import GatewayProcess, Limits, request
from tests.platformprocess import KEY, write

_UPLOAD = b"u" * 900_000
_SIZE_BYTES = 3000
# More than the buffers between an endpoint and a caller hold.
_LONG_BYTES = 12_000_000
_EVENTS = 4
_PIECE_BYTES = 65536
_UNREAD_S = 0.3
_READ_PAUSE_S = 0.1
_CALL_TIMEOUT_S = 25.0
_SETTLE_S = 12.0
_STOP_S = 12.0
_PLAIN_PREFIXES = ("/read/", "/book/")
_STREAM_PREFIXES = ("/draft/", "/check/")
_PREFIXES = _PLAIN_PREFIXES + _STREAM_PREFIXES
# Routes on which nothing may run twice.
_ONCE_PREFIXES = ("/book/", "/draft/")


class Way(enum.Enum):
    """How an endpoint ends its first answer to a request."""

    CLOSE = "close"  # Closes its sending side, and at once the connection.
    UNREAD = "unread"  # The same, with a pause between the two.
    READ = "read"  # Closes its sending side, and reads to the end.
    SLOW = "slow"  # The same, with pauses.
    KEEP = "keep"  # Reads all, answers with a length, and closes nothing.


class Case(msgspec.Struct, frozen=True):
    """What an endpoint answers at first; further answers are whole.

    Attributes:
      sent: how many bytes of the body, -1 for all of it.
      size: the size of a plain body.
    """

    way: str
    sent: int = -1
    size: int = _SIZE_BYTES
    status: str = "200"


def _body(prefix: str, name: str, run: int, size: int, after: int) -> bytes:
    if prefix in _PLAIN_PREFIXES:
        return f"{name}.{run}.".ljust(size - 3, "x").encode() + b"END"
    return b"".join(
        f"id: {number}\ndata: {name}.{run}\n\n".encode()
        for number in range(after + 1, _EVENTS + 1)
    )


def _answer(case: Case, prefix: str, name: str, run: int, after: int) -> bytes:
    body = _body(prefix, name, run, case.size, after)
    status = case.status if run == 1 else "200"
    lines = [f"HTTP/1.1 {status} OK", f"X-Request-Id: {name}"]
    lines.append(f"X-Response-Stamp: stamp.{run}")
    if prefix in _STREAM_PREFIXES:
        lines.append("Content-Type: text/event-stream")
    if run > 1 or case.way == Way.KEEP.value:
        lines.append(f"Content-Length: {len(body)}")
    elif case.sent >= 0:
        body = body[: case.sent]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _Endpoint:
    """Serves each connection in a thread of its own."""

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        # An upload never fits, also where the kernel would grow the buffer.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _PIECE_BYTES
        )
        self.port = self._listener.getsockname()[1]

    def serve(self) -> None:
        """Accepts connections until the process ends."""
        while True:
            conn, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: socket.socket) -> None:
        number = 0
        with conn, contextlib.suppress(OSError):
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self._exchange(conn, number := number + 1):
                pass

    def _exchange(self, conn: socket.socket, number: int) -> bool:
        """Answers one request; returns whether another may follow."""
        data = b""
        while b"\r\n\r\n" not in data:
            if not (piece := conn.recv(1024)):
                return False
            data += piece
        text, _, begun = data.partition(b"\r\n\r\n")
        first, *rows = text.decode().split("\r\n")
        head = {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}
        parts = urlsplit(first.split()[1])
        fields = {"way": Way.KEEP.value, **dict(parse_qsl(parts.query))}
        case = msgspec.convert(fields, Case, strict=False)
        prefix, name = parts.path[: -len("x")], head["x-request-id"]
        run = self._begin_run(name, number)
        after = int(head.get("last-event-id", "0"))
        answer = _answer(case, prefix, name, run, after)
        left = int(head.get("content-length", "0")) - len(begun)
        if run > 1 or case.way == Way.KEEP.value:
            _read(conn, left, 0)
            conn.sendall(answer)
            return True
        conn.sendall(answer)
        _end(conn, Way(case.way), left)
        return False

    def _begin_run(self, name: str, number: int) -> int:
        """Records a run by the number of its exchange on the connection."""
        with self._lock, (self._folder / name).open("ab") as runs:
            runs.write(b"%d" % min(number, 9))
            return runs.tell()


def _read(conn: socket.socket, left: int, pause_s: float) -> None:
    while left > 0 and (data := conn.recv(_PIECE_BYTES)):
        left -= len(data)
        time.sleep(pause_s)


def _end(conn: socket.socket, way: Way, left: int) -> None:
    conn.shutdown(socket.SHUT_WR)
    if way is Way.UNREAD:
        time.sleep(_UNREAD_S)
    elif way is not Way.CLOSE:
        _read(conn, left, _READ_PAUSE_S if way is Way.SLOW else 0)


def _config(limits: dict) -> dict:
    long = {"timeoutMs": 15000}
    stream = {"routeType": "streaming", **long}
    return {
        "version": 1,
        "routes": [
            route("read", "/read/", "desk", **long),
            route("book", "/book/", "desk", routeType="non_idempotent", **long),
            route("draft", "/draft/", "desk", **stream),
            route("check", "/check/", "desk", resumable=True, **stream),
        ],
        "services": [{"name": "desk", "maxConnections": 200}],
        "limits": limits,
        "tenants": [{"name": "team-a", "apiKeys": [KEY]}],
    }


def main(options: dict) -> None:
    """Serves until the process is killed; prints where the store listens."""
    options.setdefault("folder", tempfile.gettempdir())
    kv = KvStore(reactor)
    port = reactor.listenTCP(0, Site(kv_face(kv)), interface="127.0.0.1")
    write(kv, "op/config", _config(options["limits"]))
    for number in range(options["desks"]):
        endpoint = _Endpoint(options["folder"])
        threading.Thread(target=endpoint.serve, daemon=True).start()
        row = {
            "service": "desk",
            "address": f"127.0.0.1:{endpoint.port}",
            "zone": "a",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "models": [],
        }
        write(kv, f"servers/i-early{number}", row)
    print(json.dumps({"store": port.getHost().port}), flush=True)
    reactor.run()


class Seen(msgspec.Struct):
    """One answer as its caller got it; status 0 for none."""

    status: int
    body: bytes
    is_complete: bool


def _parse(data: bytes, is_reset: bool) -> Seen:
    text, sep, body = data.partition(b"\r\n\r\n")
    if not sep:
        return Seen(0, b"", False)
    first, *rows = text.decode().split("\r\n")
    head = {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}
    if "content-length" in head:
        is_complete = len(body) == int(head["content-length"])
    elif "transfer-encoding" in head:
        body, is_complete = _dechunk(body)
    else:
        is_complete = not is_reset
    return Seen(int(first.split()[1]), body, is_complete)


def _dechunk(data: bytes) -> tuple[bytes, bool]:
    pieces, at = [], 0
    while (end := data.find(b"\r\n", at)) >= 0:
        size, at = int(data[at:end], 16), end + 2
        if not size:
            return b"".join(pieces), data[at:] == b"\r\n"
        pieces.append(data[at : at + size])
        at += size + 2
    return b"".join(pieces), False


def _target(prefix: str, case: Case) -> str:
    fields = msgspec.structs.asdict(case).items()
    return f"{prefix}x?" + "&".join(f"{k}={v}" for k, v in fields)


async def _ask(front, prefix, case, name, pause_s=0.0) -> Seen:
    """Returns the answer to one upload, read with a pause before each piece."""
    data = request(
        "POST", _target(prefix, case), name, _UPLOAD, Connection="close"
    )
    reader, writer = await asyncio.open_connection(*front)
    writer.write(data)
    received, is_reset = bytearray(), False
    try:
        while piece := await reader.read(4 * _PIECE_BYTES):
            received += piece
            await asyncio.sleep(pause_s)
    except OSError:
        is_reset = True
    writer.close()
    return _parse(bytes(received), is_reset)


class EarlyAnswerTest(TestCase):
    """A gateway by the deploy file's command, endpoints over real sockets."""

    def setUp(self):
        super().setUp()
        self.folder = self.useFixture(fixtures.TempDir()).path
        self.names = (f"early{number:05}" for number in range(100_000))

    def start(self, desks=4):
        """Starts a gateway."""
        self.gateway = self.useFixture(
            GatewayProcess(
                Limits(retry_ratio=3.0, memory_mb=300),
                desks=desks,
                platform="tests.entry.test_early_answers",
                folder=self.folder,
            )
        )

    def runs(self, name):
        """Returns the numbers of a request's exchanges, one for each run."""
        path = pathlib.Path(self.folder) / name
        return path.read_text() if path.exists() else ""

    def ask(self, prefix, case, pause_s=0.0):
        """Returns the answer to one upload, and its name."""
        name = next(self.names)
        call = _ask(self.gateway.front, prefix, case, name, pause_s)
        seen = asyncio.run(asyncio.wait_for(call, _CALL_TIMEOUT_S))
        return seen, name

    def check(self, prefix, case, pause_s=0.0):
        """Checks that an answer is whole or not framed as whole."""
        seen, name = self.ask(prefix, case, pause_s)
        runs = self.runs(name)
        told = (prefix, case, seen.status, seen.is_complete, runs)
        self.assertNotEqual("", runs, told)
        if prefix in _ONCE_PREFIXES:
            self.assertEqual(1, len(runs), told)
        if seen.status != 200:
            self.assertIn(seen.status, (0, 502, 503), told)
            return "refused"
        if not seen.is_complete:
            return "cut"
        self.assertTrue(self.is_whole(prefix, case, seen, name), told)
        return "whole"

    def is_whole(self, prefix, case, seen, name):
        """Whether an answer has all bytes of one run, or all events."""
        if prefix in _PLAIN_PREFIXES:
            return seen.body in [
                _body(prefix, name, run, case.size, 0) for run in (1, 2, 3)
            ]
        ids = [row for row in seen.body.split(b"\n") if row[:2] == b"id"]
        due = [b"id: %d" % number for number in range(1, _EVENTS + 1)]
        return ids == due and seen.body.endswith(b"\n\n")

    def sizes(self, prefix):
        """Returns how much of a body an endpoint sends before it breaks off."""
        if prefix in _PLAIN_PREFIXES:
            return (0, _SIZE_BYTES // 3)
        events = len(_body(prefix, "early00000", 1, 0, 0))
        return (0, events // _EVENTS, 2 * events // _EVENTS)

    def test_part_of_an_answer_is_not_framed_as_whole(self):
        """Guards against a part of an answer that passes for whole."""
        self.start()
        for prefix in _PREFIXES:
            for way in (Way.CLOSE, Way.UNREAD):
                for sent in self.sizes(prefix):
                    found = self.check(prefix, Case(way.value, sent))
                    if prefix in _ONCE_PREFIXES:
                        self.assertNotEqual("whole", found, (prefix, sent))

    def test_part_behind_an_earlier_exchange_is_not_framed_as_whole(self):
        """Guards against the same on a connection that is used again."""
        self.start(desks=1)
        repeated = 0
        for prefix in _PREFIXES:
            for way in (Way.CLOSE, Way.UNREAD):
                for sent in self.sizes(prefix)[-2:]:
                    self.check(prefix, Case(Way.KEEP.value))
                    self.check(prefix, Case(way.value, sent))
                    repeated += self.last_runs()[0] != "1"
        self.assertLess(0, repeated)

    def last_runs(self):
        """Returns the runs of the newest request."""
        return max(pathlib.Path(self.folder).glob("early*")).read_text()

    def test_whole_answer_of_an_endpoint_that_reads_on_is_whole(self):
        """Guards against the loss of answers that sound endpoints give."""
        self.start()
        for prefix in _PREFIXES:
            for way in (Way.READ, Way.SLOW):
                seen, name = self.ask(prefix, Case(way.value))
                told = (prefix, way, seen.status, seen.is_complete)
                self.assertEqual(200, seen.status, told)
                self.assertTrue(seen.is_complete, told)
                case = Case(way.value)
                self.assertTrue(self.is_whole(prefix, case, seen, name), told)
                if prefix in _ONCE_PREFIXES:
                    # The others may be hedged, or asked for further events.
                    self.assertEqual(1, len(self.runs(name)), told)

    def test_slow_caller_gets_no_part_framed_as_whole(self):
        """Guards against an end that is misread while reading is paused."""
        self.start()
        found = collections.Counter()
        for prefix in _PLAIN_PREFIXES:
            for way in (Way.CLOSE, Way.UNREAD, Way.READ):
                sent = -1 if way is Way.READ else _LONG_BYTES // 3
                case = Case(way.value, sent, _LONG_BYTES)
                result = self.check(prefix, case, 0.02)
                found[way, result] += 1
        self.assertEqual(2, found[Way.READ, "whole"], found)

    def test_status_outside_100_to_599_is_no_answer(self):
        """Guards against a status that no caller can interpret."""
        self.start()
        for prefix in _PREFIXES:
            for status in ("000", "099", "600", "999"):
                for way in (Way.KEEP, Way.READ):
                    case = Case(way.value, status=status)
                    self.check(prefix, case)

    def test_callers_that_leave_leave_no_connections(self):
        """Guards against connections that stay open behind a caller."""
        self.start()
        before = self.gateway.sockets
        for prefix in _PREFIXES:
            for way in (Way.SLOW, Way.UNREAD):
                self.leave(prefix, Case(way.value, 0))
        limit = time.monotonic() + _SETTLE_S
        while self.gateway.sockets > before and time.monotonic() < limit:
            time.sleep(0.1)
        self.assertGreaterEqual(before, self.gateway.sockets)
        self.assertTrue(self.gateway.serves())

    def leave(self, prefix, case):
        """Uploads a request, and closes once it has begun to run."""
        name = next(self.names)
        target = _target(prefix, case)
        with socket.create_connection(self.gateway.front) as conn:
            conn.sendall(request("POST", target, name, _UPLOAD))
            self.gateway.wait(lambda: self.runs(name))
            time.sleep(_READ_PAUSE_S)

    def test_early_answer_stays_whole_through_a_planned_stop(self):
        """Guards against a stop that ends an answer before its upload."""
        self.start()
        name = next(self.names)
        threading.Thread(target=self.stop_at_run, args=(name,)).start()
        call = _ask(
            self.gateway.front, "/book/", Case(Way.SLOW.value), name, 0.0
        )
        seen = asyncio.run(asyncio.wait_for(call, _CALL_TIMEOUT_S))
        body = _body("/book/", name, 1, _SIZE_BYTES, 0)
        self.assertEqual((200, True), (seen.status, seen.is_complete))
        self.assertEqual(body, seen.body)
        self.assertEqual(0, self.gateway.process.wait(_STOP_S))

    def stop_at_run(self, name):
        """Stops the gateway once a request has begun to run."""
        self.gateway.wait(lambda: self.runs(name))
        self.gateway.process.send_signal(signal.SIGTERM)


if __name__ == "__main__":
    main(json.loads(sys.argv[1]))
