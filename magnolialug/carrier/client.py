"""Whole requests and responses over pooled connections."""

from collections.abc import Callable, Mapping

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP

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


class _Gather:
    """Collects one response."""

    def __init__(
        self,
        done: Deferred,
        progress: Progress,
        clock: Callable[[], float],
        on_begin: Callable[[], None],
        on_more: Callable[[], None],
    ):
        self._done = done
        self._progress = progress
        self._clock = clock
        self._on_begin = on_begin
        self._on_more = on_more
        self._head: Head | None = None
        self._pieces: list[bytes] = []
        self._size = 0
        self.flight: Flight | None = None

    def on_head(self, head: Head) -> None:
        """Takes the head."""
        self._head = head
        self._progress.hear(self._clock(), 0)
        self._on_begin()

    def on_data(self, data: bytes) -> None:
        """Takes a piece of the body."""
        now = self._clock()
        if self._progress.is_arriving and now > self._progress.begun_at:
            self._on_more()
        self._progress.hear(now, len(data))
        self._size += len(data)
        self._pieces.append(data)
        if self._size > _LIMIT_BYTES and self.flight is not None:
            self.flight.drop()

    def forget(self) -> None:
        """Learns that nobody waits for the response any more."""
        self._done = None

    def on_end(self, end: End) -> None:
        """Hands the response over."""
        self._progress.whole = end is End.WHOLE
        done, self._done = self._done, None
        if done is None:
            return
        if end is not End.WHOLE:
            done.callback(NoReply(end))
            return
        body = b"".join(self._pieces)
        done.callback(Reply(self._head.status, self._head.headers, body))


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
        self._arriving_at: dict[Address, float] = {}

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
        clock = self._reactor.seconds
        progress = progress or Progress()
        progress.begin(clock())

        def cancelled(_: Deferred) -> None:
            gather.forget()
            over(None)

        def due() -> float:
            return self._silent_at(address, progress, first_s, later_s)

        def more() -> None:
            self._arriving_at[address] = clock()

        def over(result):
            silence.cancel()
            if opening is not None and opening.active():
                opening.cancel()
            flight.drop()
            return result

        first_s = timeout_s + len(request) / _SLOWEST_SEND_BYTES_PER_S
        later_s = timeout_s if silence_s is None else silence_s
        done: Deferred = Deferred(cancelled)
        silence = SilenceTimer(self._reactor, due, lambda: flight.silent())
        gather = _Gather(done, progress, clock, silence.check, more)
        flight = self.send(address, request, gather)
        gather.flight = flight
        silence.check()
        opening = None
        if connect_s is not None:
            opening = self._reactor.callLater(connect_s, flight.unopened)
        return done.addCallback(over)

    def _silent_at(
        self,
        address: Address,
        progress: Progress,
        first_s: float,
        later_s: float,
    ) -> float:
        """Returns when a call will have been silent for too long."""
        arriving_at = self._arriving_at.get(address, float("-inf"))
        if progress.heard_at is None:
            return max(progress.asked_at + first_s, arriving_at + later_s)
        return max(progress.heard_at, arriving_at) + later_s

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
