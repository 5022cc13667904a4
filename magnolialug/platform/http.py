"""Requests to URLs, over the one HTTP carrier."""

from collections.abc import Callable
from urllib.parse import urlsplit

import msgspec
from twisted.internet import reactor as default_reactor

from magnolialug.carrier.client import Client, NoReply, request_bytes
from magnolialug.carrier.pool import Address, PendingRequest
from magnolialug.carrier.reader import Framing, Head
from magnolialug.carrier.responsereceiver import End
from magnolialug.result import Code, Failure, failed

__all__ = ["HttpClient", "Reply", "StreamTaker"]


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


class StreamTaker:
    """Takes a response piece by piece.

    Args:
      on_status: gets the status before the first piece.
      on_data: gets each piece of the body.
      on_end: is told whether the body is whole.

    Attributes:
      is_framed: whether the head tells where the body ends. Otherwise the
        close of the connection does, and that of a killed process looks alike.
    """

    def __init__(
        self,
        on_status: Callable[[int], None],
        on_data: Callable[[bytes], None],
        on_end: Callable[[bool], None],
    ):
        self.on_data = on_data
        self.is_framed = False
        self._on_status = on_status
        self._on_end = on_end

    def on_head(self, head: Head) -> None:
        """Takes the status line and headers."""
        self.is_framed = head.framing is not Framing.CLOSE
        self._on_status(head.status)

    def on_end(self, end: End) -> None:
        """Learns how the exchange ended."""
        self._on_end(end is End.COMPLETE)


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
        return self._client.send(address, request, taker)

    def check_listening(self, url: str, done: Callable[[bool], None]) -> None:
        """Calls `done` with whether the server of a URL still listens."""
        self._client.check_listening(_address(url), done)

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
) -> tuple[Address, bytes]:
    parts = urlsplit(url)
    target = parts.path or "/"
    if parts.query:
        target += "?" + parts.query
    data = request_bytes(method, parts.netloc, target, body, headers)
    return _address(url), data


def _address(url: str) -> Address:
    parts = urlsplit(url)
    return parts.hostname or "", parts.port or 80
