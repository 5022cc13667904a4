"""Whole requests and responses over pooled connections."""

from collections.abc import Mapping

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from magnolialug.carrier.pool import Address, Flight, Pool
from magnolialug.carrier.progress import Progress
from magnolialug.carrier.reader import Head
from magnolialug.carrier.taker import End, Taker
from magnolialug.silencetimer import SilenceTimer

__all__ = ["Client", "NoReply", "Reply", "address_of", "request_bytes"]

_LIMIT_BYTES = 8 * 1024 * 1024
# A request on a slow link, beside other traffic, leaves at least this fast. Its
# response cannot begin before.
_SLOWEST_SEND_BYTES_PER_S = 32 * 1024


class Reply(msgspec.Struct, frozen=True):
    """A whole response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class NoReply(msgspec.Struct, frozen=True):
    """No whole response came.

    Attributes:
      end: UNSENT proves that the peer saw nothing; any other leaves it open.
    """

    end: End


def address_of(url: str) -> Address:
    """Returns host and port of "http://host:port"."""
    host, _, port = url.rpartition("//")[2].rstrip("/").rpartition(":")
    return host, int(port or 0)


def request_bytes(
    method: str,
    host: str,
    target: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> bytes:
    """Returns a request as it is sent."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    if body:
        lines.append("Content-Type: application/json")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _Path(msgspec.Struct):
    """What is known of the path from one peer.

    Attributes:
      arriving_at: when a further piece of some response arrived. While it
        goes on, other responses may be waiting behind it.
    """

    arriving_at: float = float("-inf")


class _Call:
    """Collects one response, and ends when nothing arrives for too long.

    Attributes:
      first_s: the longest time until the response begins.
      later_s: the longest time between two pieces of it.
      path: what it shares with other calls.
    """

    def __init__(self, reactor, progress: Progress):
        self.first_s = self.later_s = 0.0
        self.path = _Path()
        self._reactor = reactor
        self._progress = progress
        self._done: Deferred | None = None
        self._flight: Flight | None = None
        self._head: Head | None = None
        self._pieces: list[bytes] = []
        self._silence = SilenceTimer(reactor, self._silent_at, self._give_up)
        self._opening: IDelayedCall | None = None
        progress.begin(reactor.seconds())

    def begin(self, flight: Flight, connect_s: float | None) -> Deferred:
        """Returns the deferred response to what has been sent."""
        self._flight = flight
        self._done = done = Deferred(self._cancelled)
        self._silence.check()
        if connect_s is not None:
            self._opening = self._reactor.callLater(connect_s, flight.unopened)
        return done

    def on_head(self, head: Head) -> None:
        """Takes the head."""
        self._head = head
        self._progress.hear(self._reactor.seconds(), 0)
        self._silence.check()

    def on_data(self, data: bytes) -> None:
        """Takes a piece of the body."""
        now = self._reactor.seconds()
        if now > self._progress.begun_at:
            self.path.arriving_at = now
        self._progress.hear(now, len(data))
        self._pieces.append(data)
        if self._progress.received > _LIMIT_BYTES:
            self._flight.drop()

    def on_end(self, end: End) -> None:
        """Hands the response over."""
        self._progress.whole = end is End.WHOLE
        self._stop()
        done, self._done = self._done, None
        if done is None:
            return
        if end is not End.WHOLE:
            done.callback(NoReply(end))
            return
        body = b"".join(self._pieces)
        done.callback(Reply(self._head.status, self._head.headers, body))

    def _cancelled(self, _: Deferred) -> None:
        self._done = None
        self._flight.drop()

    def _stop(self) -> None:
        self._silence.cancel()
        if self._opening is not None and self._opening.active():
            self._opening.cancel()

    def _give_up(self) -> None:
        self._flight.silent()

    def _silent_at(self) -> float:
        """Returns when nothing will have arrived for too long."""
        progress, other_at = self._progress, self.path.arriving_at
        if progress.heard_at is None:
            first_at = progress.asked_at + self.first_s
            return max(first_at, other_at + self.later_s)
        return max(progress.heard_at, other_at) + self.later_s


class Client:
    """Asks one peer at a time, and gives a silent one up.

    What bounds a call is how long nothing arrives, not how long the response
    is: a link that is slower than a long response would make that response a
    failure at every attempt.

    Args:
      limit: most connections to one address.
    """

    def __init__(self, reactor: IReactorTCP, limit: int = 64):
        self._reactor = reactor
        self._limit = limit
        self._pools: dict[Address, Pool] = {}
        self._paths: dict[Address, _Path] = {}

    def ask(
        self,
        address: Address,
        request: bytes,
        timeout_s: float,
        connect_s: float | None = None,
        silence_s: float | None = None,
        progress: Progress | None = None,
    ) -> Deferred[Reply | NoReply]:
        """Returns the response, or how it failed to come.

        The call ends as SILENT if nothing arrives for too long. While a long
        response arrives from the same peer on another connection, this one may
        be waiting behind it on the link, and is not taken for silent.

        The call ends if it has no connection after `connect_s`; one that opens
        later serves the next call.

        Cancelled, it fails with CancelledError. A task that is cancelled
        while it asks would otherwise take the end of its call for an answer
        and go on: a process that stops would take a lease once more, and
        hold it beyond its end.

        Args:
          timeout_s: the longest time until the response begins.
          connect_s: the longest time until there is a connection, None for
            the timeout.
          silence_s: the longest time between two pieces of the response, None
            for the timeout.
          progress: records what arrives.
        """
        call = _Call(self._reactor, progress or Progress())
        call.first_s = timeout_s + len(request) / _SLOWEST_SEND_BYTES_PER_S
        call.later_s = timeout_s if silence_s is None else silence_s
        call.path = self._paths.setdefault(address, _Path())
        return call.begin(self.send(address, request, call), connect_s)

    def seconds(self) -> float:
        """Returns the time by which progress is recorded."""
        return self._reactor.seconds()

    def send(self, address: Address, request: bytes, taker: Taker) -> Flight:
        """Sends a request; the response goes to its taker as it arrives."""
        pool = self._pools.get(address)
        if pool is None:
            clock = self._reactor.seconds
            pool = Pool(self._reactor, address, self._limit, clock)
            self._pools[address] = pool
        return pool.send(request, taker, lambda head: True)

    def drop_idle(self, address: Address) -> None:
        """Closes the idle connections to a peer."""
        pool = self._pools.get(address)
        if pool is not None:
            pool.drop_idle()

    def close(self) -> None:
        """Closes idle connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()
