"""Requests to URLs, over the one HTTP carrier."""

from collections.abc import Callable
from functools import partial
from urllib.parse import urlsplit

import msgspec
from twisted.internet import reactor as default_reactor
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.client import Client, NoReply, request_bytes
from magnolialug.carrier.pool import PendingRequest
from magnolialug.carrier.reader import Framing, Head
from magnolialug.carrier.responsereceiver import End
from magnolialug.result import Code, Failure, failed

__all__ = ["CheckListening", "HttpClient", "Reply", "StreamTaker"]

CheckListening = Callable[[Callable[[bool], None]], None]

_TICK_S = 0.1
# Shorter than a server takes to start again. What is read after a longer
# standstill may come from a server in whose place another one listens.
_STALE_S = 0.25


class Reply(msgspec.Struct, frozen=True):
    """A whole HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def is_framed(self) -> bool:
        """Whether its headers tell where the body ends.

        Otherwise the body ended with its connection, and a server that
        crashes can close that in order.
        """
        names = self.headers.keys()
        return not names.isdisjoint(("content-length", "transfer-encoding"))


class _StandstillWatch:
    """Notes when this process has not run for a while."""

    def __init__(self, reactor: IReactorTime):
        self._reactor = reactor
        self._ticked_at = reactor.seconds()
        self._stale_until = self._ticked_at
        self._timer = reactor.callLater(_TICK_S, self._tick)

    def is_stale(self) -> bool:
        """Whether what is read now may have arrived long ago."""
        now = self._reactor.seconds()
        return now < self._stale_until or now - self._ticked_at > _STALE_S

    def stop(self) -> None:
        """Ends the watch."""
        if self._timer.active():
            self._timer.cancel()

    def _tick(self) -> None:
        now = self._reactor.seconds()
        if now - self._ticked_at > _STALE_S:
            self._stale_until = now + _STALE_S
        self._ticked_at = now
        self._timer = self._reactor.callLater(_TICK_S, self._tick)


class StreamTaker:
    """Takes a response piece by piece.

    The close that ends a body without a length or chunks is only trusted if
    the server still listens: the kernel closes the connections of a killed
    process as if their answers were whole.

    Args:
      on_status: gets the status before the first piece.
      on_data: gets each piece of the body.
      on_end: is told whether the body is whole.
    """

    def __init__(
        self,
        on_status: Callable[[int], None],
        on_data: Callable[[bytes], None],
        on_end: Callable[[bool], None],
    ):
        self.on_data = on_data
        self._on_status = on_status
        self._on_end = on_end
        self._framing: Framing | None = None
        self._check_listening: CheckListening | None = None
        self._watch: _StandstillWatch | None = None

    def begin(
        self, reactor: IReactorTime, check_listening: CheckListening
    ) -> None:
        """Learns how to ask whether the server still listens."""
        self._check_listening = check_listening
        self._watch = _StandstillWatch(reactor)

    def on_head(self, head: Head) -> None:
        """Takes the status line and headers."""
        self._framing = head.framing
        self._on_status(head.status)

    def on_end(self, end: End) -> None:
        """Learns how the exchange ended."""
        self._watch.stop()
        if end is not End.COMPLETE or self._framing is not Framing.CLOSE:
            self._on_end(end is End.COMPLETE)
        elif self._watch.is_stale():
            self._on_end(False)
        else:
            self._check_listening(self._on_end)


class HttpClient:
    """Asks by URL; a response that does not come is a failure.

    Args:
      unreachable: the code of that failure.
    """

    def __init__(self, reactor=default_reactor, unreachable=Code.KV_ERROR):
        self.reactor = reactor
        self.unreachable = unreachable
        self._client = Client(reactor)

    def stream(
        self,
        method: str,
        url: str,
        body: bytes,
        taker: StreamTaker,
        headers: dict[str, str] | None = None,
    ) -> PendingRequest:
        """Sends a request whose response is taken as it arrives."""
        address, request = _request(method, url, body, headers)
        check_listening = partial(self._client.check_listening, address)
        taker.begin(self.reactor, check_listening)
        return self._client.send(address, request, taker)

    async def ask(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> Reply | Failure:
        """Returns a whole response, or a failure if none came in time."""
        address, request = _request(method, url, body, headers)
        reply = await self._client.ask(address, request, timeout_s)
        if isinstance(reply, NoReply):
            reason = f"no response: {reply.end.value}"
            return failed(self.unreachable, reason, url)
        names = {
            name.decode(): value.decode("latin-1")
            for name, value in reply.headers
        }
        return Reply(reply.status, names, reply.body)

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


def _request(
    method: str, url: str, body: bytes, headers: dict[str, str] | None
) -> tuple[tuple[str, int], bytes]:
    parts = urlsplit(url)
    address = (parts.hostname or "", parts.port or 80)
    target = parts.path or "/"
    if parts.query:
        target += "?" + parts.query
    data = request_bytes(method, parts.netloc, target, body, headers)
    return address, data
