"""The platform of one gateway, in a process of its own: store and endpoints.

Run as a module; the one argument is a JSON object of the options below.
"""

import json
import sys
from collections import deque
from urllib.parse import parse_qs, urlsplit

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.web.server import Site

from magnolialug.standin.endpoint import EndpointStandin, _Serving
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.standin.modelserver import ModelServerStandin
from magnolialug.standin.operatorconfig import ENGINES, route

__all__ = ["KEY"]

KEY = "key-a"
_SLOW_PAUSE_S = 0.1


class _SlowServing(_Serving):
    """Pauses behind each piece of a request whose target asks for it."""

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)
        if b"slow" in self._target and self.current is None:
            self.transport.pauseProducing()
            reactor.callLater(_SLOW_PAUSE_S, self._read_on)

    def _read_on(self) -> None:
        if self in self.endpoint.open:
            self.transport.resumeProducing()


class Desk(EndpointStandin):
    """Answers with as many bytes as the target's query `size` says."""

    def __init__(self, clock, instance: str):
        super().__init__(clock, instance, work_s=0.001)
        self.seen = deque(maxlen=1)
        self.body_of = _body_of

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
