"""The platform of one gateway, in a process of its own: store and endpoints.

Run as a module; the one argument is a JSON object of the options below.
"""

import json
import socket
import sys
from collections import deque
from urllib.parse import parse_qs, urlsplit

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.web.server import Site

from magnolialug.carrier.connection import unsent_bytes
from magnolialug.standin.endpoint import EndpointStandin, _Serving
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.standin.modelserver import ModelServerStandin
from magnolialug.standin.operatorconfig import ENGINES, route
from tests.silentsocket import drop_all

__all__ = ["KEY"]

KEY = "key-a"
_SLOW_PAUSE_S = 0.1
_LONG_PAUSE_S = 3.0
_PATIENCE_S = 1.0
_SEND_BYTES = 16384


class _SlowServing(_Serving):
    """Reads a body as slowly as its target asks for."""

    _is_hindered = False

    def dataReceived(self, data: bytes) -> None:
        """Reads a piece, and stops for a while, or for good."""
        super().dataReceived(data)
        if b"slow" in self._target and self.current is None:
            self._pause(_SLOW_PAUSE_S)
        if self._is_hindered:
            return
        if b"pausing" in self._target:
            self._is_hindered = True
            self._pause(_LONG_PAUSE_S)
        elif b"silent" in self._target:
            self._is_hindered = True
            drop_all(self.transport.getHandle())

    def send(self, data: bytes) -> None:
        """Sends an answer; cuts it off if it stays unread, where asked for."""
        if b"impatient" in self._target:
            self.transport.getHandle().setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BYTES
            )
            reactor.callLater(_PATIENCE_S, self._cut_unread, len(data))
        super().send(data)

    def _cut_unread(self, unsent_before: int) -> None:
        unsent = unsent_bytes(self.transport) - self.transport.offset
        if unsent and unsent == unsent_before:
            self.transport.abortConnection()
        elif unsent:
            reactor.callLater(_PATIENCE_S, self._cut_unread, unsent)

    def _pause(self, seconds: float) -> None:
        self.transport.pauseProducing()
        reactor.callLater(seconds, self._read_on)

    def _read_on(self) -> None:
        if self in self.endpoint.open:
            self.transport.resumeProducing()


class Desk(EndpointStandin):
    """Answers with as many bytes as the target's query `size` says.

    The query `work` says after how many seconds.
    """

    def __init__(self, clock, instance: str):
        super().__init__(clock, instance, work_s=0.001)
        self.seen = deque(maxlen=1)
        self.body_of = _body_of

    def answer(self, conn, req) -> None:
        """Answers a request in its time."""
        query = parse_qs(urlsplit(req.target).query)
        self.work_s = float(query.get("work", ["0.001"])[0])
        super().answer(conn, req)

    def buildProtocol(self, addr) -> _SlowServing:
        self.connections += 1
        return _SlowServing(self)


def _body_of(req) -> bytes:
    query = parse_qs(urlsplit(req.target).query)
    return b"x" * int(query.get("size", ["2"])[0])


def config(limits: dict) -> dict:
    """Returns the operator's configuration."""
    prompts = {"routeType": "streaming", "sessionAffinity": True}
    return {
        "version": 1,
        "routes": [
            route("read", "/read/", "desk", timeoutMs=15000),
            route(
                "book",
                "/book/",
                "desk",
                routeType="non_idempotent",
                timeoutMs=15000,
            ),
            route("draft", "/draft/", "llm", **prompts, timeoutMs=15000),
        ],
        "services": [{"name": "desk", "maxConnections": 100}, ENGINES],
        "limits": limits,
        "tenants": [{"name": "team-a", "apiKeys": [KEY]}],
    }


def write(kv: KvStore, key: str, value: object) -> None:
    """Writes a key as its owner does."""
    ensureDeferred(kv.put_if(key, msgspec.json.encode(value), 0))


def list_endpoint(kv: KvStore, service: str, endpoint) -> None:
    """Starts an endpoint and writes its entry."""
    port = reactor.listenTCP(0, endpoint, interface="127.0.0.1")
    models = [{"name": "m", "version": 1}] if service == "llm" else []
    row = {
        "service": service,
        "address": f"127.0.0.1:{port.getHost().port}",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "models": models,
    }
    write(kv, f"servers/{endpoint.instance}", row)


def main(options: dict) -> None:
    """Serves until the process is killed; prints where the store listens."""
    kv = KvStore(reactor)
    port = reactor.listenTCP(0, Site(kv_face(kv)), interface="127.0.0.1")
    write(kv, "op/config", config(options["limits"]))
    for number in range(options["desks"]):
        list_endpoint(kv, "desk", Desk(reactor, f"i-desk{number}"))
    for number in range(options["engines"]):
        engine = ModelServerStandin(reactor, f"i-llm{number}")
        engine.seen = deque(maxlen=1)
        list_endpoint(kv, "llm", engine)
    print(json.dumps({"store": port.getHost().port}), flush=True)
    reactor.run()


if __name__ == "__main__":
    main(json.loads(sys.argv[1]))
