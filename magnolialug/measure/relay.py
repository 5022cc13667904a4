"""What it costs an entry to relay one streamed answer."""

from random import Random

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from magnolialug.attempt import Attempt
from magnolialug.config.current import Current, make_doc
from magnolialug.config.deployment import (
    Deployment,
    to_text,
)
from magnolialug.entry.app import EntryApp
from magnolialug.entry.call import PromptCall
from magnolialug.entry.responseformats import CHAT
from magnolialug.entry.sink import CallerSink
from magnolialug.measure.slope import Slope, micros_each
from magnolialug.policy.blocks import prompt_root
from magnolialug.standin.kv import KvStore
from magnolialug.wire import messages as msg
from magnolialug.wire.link import Link

__all__ = ["STATUS", "Transport", "relay_slopes"]

_TOKENS = 400
STATUS = msg.Status(
    123456.5, False, 6, 2, (0, 4000), 4000.0, 1.5, 9_000_000, 0, "v1", 7, 40
)


class Transport:
    """Takes bytes and forgets them."""

    disconnecting = False

    def __init__(self):
        self.size = 0

    def write(self, data: bytes) -> None:
        """Counts bytes."""
        self.size += len(data)

    def loseConnection(self) -> None:
        """Does nothing."""

    abortConnection = loseConnection


class _Response:
    """As much of a response as a sink uses."""

    def __init__(self):
        self.size = 0

    def notifyFinish(self) -> Deferred:
        """Returns a deferred that never fires."""
        return Deferred()

    def setHeader(self, name: str, value: str) -> None:
        """Does nothing."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Does nothing."""

    unregisterProducer = finish = lambda self: None

    def write(self, data: bytes) -> None:
        """Counts bytes."""
        self.size += len(data)


class _Relay:
    """An entry between a link that plays a sidecar and a response."""

    def __init__(self, base: Deployment):
        self.clock = Clock()
        current = Current()
        endpoint = "model-1"
        only = {endpoint: base.endpoints[endpoint]}
        current.offer(
            make_doc(1, to_text(msgspec.structs.replace(base, endpoints=only)))
        )
        self.link = Link(self.clock)
        self.link.makeConnection(Transport())
        self.app = EntryApp(
            "entry-1",
            "zone",
            current,
            KvStore(self.clock),
            self.clock,
            Random(1),
            self._connect,
        )
        self.app.start()
        self._receive(msg.Welcome(endpoint, "a" * 16, 0.0))
        self._kind = base.services["language"].kinds["renter-question"]

    def _connect(self, endpoint: str) -> Deferred:
        fut: Deferred = Deferred()
        fut.callback(self.link)
        return fut

    def _receive(self, message: msg.Message) -> None:
        data = msg.encode(message)
        self.link.dataReceived(len(data).to_bytes(4, "big") + data)

    def request(self, tokens: int) -> None:
        """Serves one request with an answer of so many pieces."""
        now = self.clock.seconds()
        call = PromptCall(
            team="members",
            service="language",
            kind_name="renter-question",
            kind=self._kind,
            model="guide",
            weights="v1",
            body="prompt " * 40,
            max_tokens=tokens,
            root=prompt_root("members", "prompt"),
            key="",
            deadline=now + 5,
            arrived=now,
        )
        sink = CallerSink(_Response(), CHAT, "guide", 0, True, True)
        fut = ensureDeferred(self.app.serve(call, sink))
        fut.addCallback(sink.end)
        attempt = Attempt("members", sink.request_id, 1, "a" * 16, 0.0)
        attempt = msgspec.structs.replace(
            attempt, born=self.app.fleet.upstreams["model-1"].born()
        )
        for number in range(tokens):
            self._receive(msg.Token(attempt, number + 1, "word "))
        self._receive(STATUS)
        self._receive(msg.Done(attempt, tokens, 70, 70, 0, 0, 0.1, "stop"))
        if not fut.called:
            raise RuntimeError("the relayed request did not end")
        self.clock.advance(1.0)


def relay_slopes(base: Deployment) -> list[Slope]:
    """Returns the cost of a call and of each token that it relays."""
    relay = _Relay(base)
    few = micros_each(
        "request through an entry, 1 token", lambda: relay.request(1), 200
    )
    many = micros_each(
        f"request through an entry, {_TOKENS} tokens",
        lambda: relay.request(_TOKENS),
        10,
    )
    each = Slope(
        "token through an entry",
        "us",
        (many.median - few.median) / (_TOKENS - 1),
        (many.low - few.high) / (_TOKENS - 1),
        (many.high - few.low) / (_TOKENS - 1),
    )
    return [few, each]
