"""Servers that end their first answer to each request after some bytes.

Run as a module: the platform of one gateway; the one argument is a JSON object
of options. The queries of a request's target say how its answer ends.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
from urllib.parse import parse_qsl, urlsplit

import msgspec
from twisted.internet import reactor
from twisted.web.server import Site

from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.standin.operatorconfig import route
from tests.platformprocess import KEY, write

__all__ = ["Case", "answer", "resumed_after", "run_count"]

_RESTART_S = 0.3
_LAPSE_S = 3.6
_PAUSE_S = 0.03
_BODY_BYTES = 48


class Case(msgspec.Struct, frozen=True):
    """What a server answers, and how its first answer ends.

    Attributes:
      framing: length, chunks or close (neither).
      close: how the first answer ends: fin, rst, or kill (its process).
      cut: after how many bytes it ends, -1 for whole.
      pieces: in how many pieces these are sent, with a pause between them.
      events: how many a stream has, 0 for a plain answer.
      step: by how much its ids increase.
      eol: the end of its lines, lf or crlf.
      version: whether its first event begins with the version.
      extra: how many of its bytes follow a whole answer once more, as answer to
        nothing.
    """

    framing: str = "length"
    close: str = "fin"
    cut: int = -1
    pieces: int = 1
    events: int = 0
    step: int = 1
    eol: str = "lf"
    version: int = 0
    extra: int = 0

    def target(self, prefix: str) -> str:
        """Returns the target of a request for this answer."""
        fields = msgspec.structs.asdict(self).items()
        return f"{prefix}x?" + "&".join(f"{k}={v}" for k, v in fields)


def case_of(target: str) -> Case:
    """Returns the case that a target asks for."""
    fields = dict(parse_qsl(urlsplit(target).query))
    return msgspec.convert(fields, Case, strict=False)


def body_pieces(case: Case, name: str, run: int, after: int) -> list[bytes]:
    """Returns a plain body, or the events of a stream behind an id."""
    said = f"{name}.{run:04}"
    if not case.events:
        return [said.ljust(_BODY_BYTES, "x").encode() + b"END"]
    eol = {"lf": "\n", "crlf": "\r\n"}[case.eol]
    pieces = []
    for number in range(1, case.events + 1):
        if (event_id := number * case.step) <= after:
            continue
        lines = [f"id: {event_id}", f"data: {said}", "", ""]
        if case.version and number == 1:
            lines.insert(0, "x-weight-versions: 1")
        pieces.append(eol.join(lines).encode())
    return pieces


def answer(case: Case, name: str, run: int, after: int = 0) -> bytes:
    """Returns the whole answer of a run."""
    pieces = body_pieces(case, name, run, after)
    lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {name}"]
    lines.append(f"X-Response-Stamp: stamp.{run:04}")
    if case.events:
        lines.append("Content-Type: text/event-stream")
    if case.framing == "length":
        lines.append(f"Content-Length: {sum(map(len, pieces))}")
    elif case.framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        pieces = [b"%x\r\n%b\r\n" % (len(p), p) for p in pieces] + [
            b"0\r\n\r\n"
        ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + b"".join(pieces)


def run_count(folder: str, name: str) -> int:
    """Returns how often a request was run."""
    path = pathlib.Path(folder) / name
    return path.stat().st_size if path.exists() else 0


def resumed_after(head: dict[str, str]) -> int:
    """Returns the event behind which a request goes on."""
    return int(head.get("last-event-id", "0"))


class _Server:
    def __init__(self, instance: str, folder: str):
        self._instance = instance
        self._folder = pathlib.Path(folder)

    def _begin_run(self, name: str) -> int:
        with (self._folder / name).open("ab") as runs:
            runs.write(b"x")
            return runs.tell()

    async def serve(self, reader, writer) -> None:
        """Answers the requests of one connection."""
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _answer(self, reader, writer) -> bool:
        text = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *rows = text.split("\r\n")
        pairs = [row.split(": ", 1) for row in rows if row]
        head = {key.lower(): value for key, value in pairs}
        await reader.readexactly(int(head.get("content-length", "0")))
        name = head.get("x-request-id", "none")
        if head.get("x-expect-instance", self._instance) != self._instance:
            writer.write(
                b"HTTP/1.1 421 No\r\nX-Request-Id: %b\r\n"
                b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                % name.encode()
            )
            return True
        case = case_of(first.split()[1])
        run = self._begin_run(name)
        data = answer(case, name, run, resumed_after(head))
        if run > 1 or case.cut < 0:
            writer.write(data)
            if case.extra and run == 1:
                await asyncio.sleep(_PAUSE_S)
                writer.write(data[: case.extra])
            return case.framing != "close"
        await self._send_cut(case, data[: case.cut], writer)
        return False

    async def _send_cut(self, case: Case, data: bytes, writer) -> None:
        half = len(data) // 2 if case.pieces > 1 else len(data)
        writer.write(data[:half])
        if case.pieces > 1:
            await asyncio.sleep(_PAUSE_S)
            writer.write(data[half:])
        if case.close == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif case.close == "rst":
            await asyncio.sleep(0.002)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()


async def _serve(instance: str, folder: str, port: int) -> None:
    server = _Server(instance, folder)
    listening = await asyncio.start_server(
        server.serve, "127.0.0.1", port, reuse_address=True
    )
    print(listening.sockets[0].getsockname()[1], flush=True)
    async with listening:
        await listening.serve_forever()


class _Slot:
    """One server's place; another server starts there when it has ended."""

    def __init__(self, kv: KvStore, number: int, options: dict):
        self._kv = kv
        self._number = number
        self._options = options
        self._port = 0
        self._starts = 0
        self._instance = ""

    def start(self) -> None:
        """Starts a server and lists it."""
        before = self._instance
        if not before or self._options["new_ids"]:
            self._starts += 1
            self._instance = f"i-cut{self._number}-{self._starts}"
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "tests.cutservers",
                self._instance,
                self._options["folder"],
                str(self._port),
            ],
            stdout=subprocess.PIPE,
            preexec_fn=_end_with_parent,
        )
        self._port = int(process.stdout.readline())
        threading.Thread(
            target=self._await_end, args=(process,), daemon=True
        ).start()
        if before != self._instance:
            write(self._kv, f"servers/{self._instance}", self._row())
        if before and before != self._instance:
            reactor.callLater(_LAPSE_S, self._kv._remove, f"servers/{before}")

    def _row(self) -> dict:
        return {
            "service": "desk",
            "address": f"127.0.0.1:{self._port}",
            "zone": "a",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "models": [],
        }

    def _await_end(self, process) -> None:
        process.wait()
        process.stdout.close()
        reactor.callFromThread(reactor.callLater, _RESTART_S, self.start)


def _end_with_parent() -> None:
    """Has the kernel end this process with the one that started it."""
    import ctypes

    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def _config(limits: dict) -> dict:
    long = {"timeoutMs": 15000}
    stream = {"routeType": "streaming", **long}
    return {
        "version": 1,
        "routes": [
            route("read", "/read/", "desk", **long),
            route("book", "/book/", "desk", routeType="non_idempotent", **long),
            route("once", "/once/", "desk", **stream),
            route("again", "/again/", "desk", resumable=True, **stream),
        ],
        "services": [{"name": "desk", "maxConnections": 200}],
        "limits": limits,
        "tenants": [{"name": "team-a", "apiKeys": [KEY]}],
    }


def main(options: dict) -> None:
    """Serves until the process is killed; prints where the store listens."""
    options.setdefault("new_ids", False)
    options.setdefault("folder", tempfile.gettempdir())
    kv = KvStore(reactor)
    port = reactor.listenTCP(0, Site(kv_face(kv)), interface="127.0.0.1")
    write(kv, "op/config", _config(options["limits"]))
    slots = [_Slot(kv, n, options) for n in range(options["desks"])]
    for slot in slots:
        slot.start()
    print(json.dumps({"store": port.getHost().port}), flush=True)
    reactor.run()


if __name__ == "__main__":
    if len(sys.argv) > 2:
        asyncio.run(_serve(sys.argv[1], sys.argv[2], int(sys.argv[3])))
    else:
        main(json.loads(sys.argv[1]))
