"""One endpoint in a process of its own, to be ended by signals.

Run as a module; the one argument is an EndpointSpec as JSON.
"""

import os
import sys
from collections import Counter

import msgspec
from twisted.internet import reactor

from magnolialug.carrier.reader import Framing
from magnolialug.soak.engine import Engine
from magnolialug.standin.endpoint import EndpointStandin, Received

__all__ = ["READY", "EndpointSpec"]

READY = b"ready\n"
# An answer comes in two pieces, so that a signal can meet it between them.
_BETWEEN_PIECES_S = 0.03


class EndpointSpec(msgspec.Struct, frozen=True):
    """What an endpoint is, and where it listens.

    Attributes:
      framing: what tells the end of its answers.
      line_end: ends the lines of its streams.
      runs_path: the file that takes the id of each request that it runs.
      events: how many events a stream has.
      gap_s: the pause between events.
      software: the version of its software.
    """

    instance: str
    service: str
    host: str
    port: int
    framing: Framing
    line_end: str
    runs_path: str
    born_ms: int
    events: int
    gap_s: float
    weights: int = 1
    software: str = "v1"


class _RecordedRuns(Counter):
    """Counts runs, and writes each to a file that outlives the process."""

    def __init__(self, path: str):
        super().__init__()
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def __setitem__(self, request_id: str, count: int) -> None:
        os.write(self._file, f"{request_id}\n".encode())
        super().__setitem__(request_id, count)


class _PlainEndpoint(EndpointStandin):
    """A plain service whose answers come in pieces, in any framing."""

    framing = Framing.LENGTH

    def answer(self, conn, req: Received) -> None:
        """Answers a request."""
        expected = req.headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            super().answer(conn, req)
            return
        self.ran[req.request_id] += 1
        self.clock.callLater(self.work_s, self._send_head, conn, req)

    def _send_head(self, conn, req: Received) -> None:
        if conn.current is not req:
            return
        body = self.body_of(req)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {req.request_id}",
            f"X-Response-Stamp: stamp.{self.instance}",
        ]
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        elif self.framing is Framing.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        conn.send("\r\n".join(lines).encode() + b"\r\n\r\n")
        half = len(body) // 2
        self._send_pieces(conn, req, [body[:half], body[half:]])

    def _send_pieces(self, conn, req: Received, pieces: list[bytes]) -> None:
        if conn.current is not req:
            return
        if pieces:
            piece = pieces[0]
            if self.framing is Framing.CHUNKS:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            conn.send(piece)
            self.clock.callLater(
                _BETWEEN_PIECES_S, self._send_pieces, conn, req, pieces[1:]
            )
            return
        conn.current = None
        if self.framing is Framing.CHUNKS:
            conn.send(b"0\r\n\r\n")
        elif self.framing is Framing.CLOSE:
            conn.close()


def _endpoint(spec: EndpointSpec) -> EndpointStandin:
    if spec.service == "llm":
        endpoint = Engine(reactor, spec.instance)
        endpoint.events = spec.events
        endpoint.gap_s = spec.gap_s
        endpoint.version = spec.weights
        endpoint.software = spec.software
        endpoint.line_end = spec.line_end.encode()
    else:
        endpoint = _PlainEndpoint(reactor, spec.instance)
        endpoint.body_of = lambda req: (
            f"{spec.instance}|{req.request_id}|{req.target}".encode()
        )
    endpoint.framing = spec.framing
    endpoint.born_ms = spec.born_ms
    endpoint.ran = _RecordedRuns(spec.runs_path)
    return endpoint


def main(spec: EndpointSpec) -> None:
    """Serves until a signal ends the process."""
    reactor.listenTCP(spec.port, _endpoint(spec), interface=spec.host)
    reactor.callWhenRunning(os.write, 1, READY)
    reactor.run()


if __name__ == "__main__":
    main(msgspec.json.decode(sys.argv[1].encode(), type=EndpointSpec))
