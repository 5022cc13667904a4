"""HTTP client that buffers whole responses from pooled connections."""

from collections.abc import Callable, Mapping

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from magnolialug.carrier.peermonitor import PeerMonitor
from magnolialug.carrier.pool import Address, PendingRequest, Pool
from magnolialug.carrier.progress import Progress
from magnolialug.carrier.reader import Head
from magnolialug.carrier.responsereceiver import End, ResponseReceiver
from magnolialug.silencetimer import SilenceTimer

__all__ = ["Client", "NoReply", "Reply", "parse_address", "request_bytes"]

_MAX_BODY_BYTES = 8 * 1024 * 1024
# Bounds the time of a response that never ends: it must arrive at this average
# rate after the first seconds.
_ARRIVAL_S = 10.0
_MIN_RECEIVE_BYTES_PER_S = 8 * 1024
# Assumed lowest send rate of a request on a slow link that carries other
# traffic. The time to send at this rate extends the time-out for the response,
# which cannot begin before the request has been sent.
_MIN_SEND_BYTES_PER_S = 32 * 1024
# A response that takes longer than this to arrive may delay others on the link.
# A shorter one delays them too little to matter, and a time-out that each short
# response puts off may never be reached.
_LONG_ARRIVAL_S = 0.1


class Reply(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class NoReply(msgspec.Struct, frozen=True):
    """The call ended without a complete response.

    Attributes:
      end: how the exchange ended. UNSENT proves that the peer received
        nothing; after any other end it may have received the request.
    """

    end: End


def parse_address(url: str) -> Address:
    """Returns the host and port of a URL "http://host:port"."""
    host, _, port = url.rpartition("//")[2].rstrip("/").rpartition(":")
    return host, int(port or 0)


def request_bytes(
    method: str,
    host: str,
    target: str,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> bytes:
    """Returns the bytes of an HTTP/1.1 request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    if body:
        lines.append("Content-Type: application/json")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class _Call:
    """Collects one response; times out if no bytes arrive for too long.

    Attributes:
      first_byte_timeout_s: the longest time until the response begins.
      piece_timeout_s: the longest time between two pieces of the response.
      max_bytes: the largest body.
      peer_calls: all calls to the peer under way, this one included.
      progress: what has arrived of the response.
    """

    def __init__(self, reactor, progress: Progress):
        self.first_byte_timeout_s = self.piece_timeout_s = 0.0
        self.max_bytes = _MAX_BODY_BYTES
        self.peer_calls: set[_Call] = {self}
        self._reactor = reactor
        self.progress = progress
        self._done: Deferred | None = None
        self._pending: PendingRequest | None = None
        self._head: Head | None = None
        self._pieces: list[bytes] = []
        self._delayed_at = float("-inf")
        self._silence = SilenceTimer(
            reactor, self._silence_deadline, self._time_out
        )
        self._connect_timer: IDelayedCall | None = None
        progress.begin(reactor.seconds())

    def begin(
        self, pending: PendingRequest, connect_s: float | None
    ) -> Deferred:
        """Returns a deferred of the response to a request already sent."""
        self._pending = pending
        self._done = done = Deferred(self._cancelled)
        self._silence.check()
        if connect_s is not None:
            self._connect_timer = self._reactor.callLater(
                connect_s, pending.fail_unless_connected
            )
        return done

    def on_head(self, head: Head) -> None:
        """Records the response's head."""
        self._head = head
        now = self._reactor.seconds()
        self._record_extension(now)
        self.progress.record(now, 0)
        self._silence.check()

    def on_data(self, data: bytes) -> None:
        """Adds a piece of the body; drops the call above `max_bytes`."""
        now = self._reactor.seconds()
        self._record_extension(now)
        self.progress.record(now, len(data))
        self._pieces.append(data)
        if self.progress.received > self.max_bytes:
            self._pending.drop()

    def on_end(self, end: End) -> None:
        """Fires the deferred with the Reply or NoReply."""
        self.progress.complete = end is End.COMPLETE
        self._record_extension(self._reactor.seconds())
        self._stop()
        if self.progress.arrival_s > _LONG_ARRIVAL_S:
            for call in self.peer_calls:
                call.record_delay(self.progress)
        done, self._done = self._done, None
        if done is None:
            return
        if end is not End.COMPLETE:
            done.callback(NoReply(end))
            return
        body = b"".join(self._pieces)
        done.callback(Reply(self._head.status, self._head.headers, body))

    def record_delay(self, other: Progress) -> None:
        """Records that a long response has ended that may have delayed this."""
        if self._may_be_behind(other):
            self._delayed_at = max(self._delayed_at, other.last_byte_at)

    def _cancelled(self, _: Deferred) -> None:
        self._done = None
        self._pending.drop()

    def _stop(self) -> None:
        self.peer_calls.discard(self)
        self._silence.cancel()
        if self._connect_timer is not None and self._connect_timer.active():
            self._connect_timer.cancel()

    def _time_out(self) -> None:
        self._pending.time_out()

    def _record_extension(self, now: float) -> None:
        """Records how long the call has been kept open past its time-out."""
        extended_s = now - self._own_deadline()
        self.progress.extended_s = max(self.progress.extended_s, extended_s)

    def _own_deadline(self) -> float:
        """Returns when the call times out if nothing else arrives."""
        progress = self.progress
        if progress.last_byte_at is None:
            return progress.started_at + self.first_byte_timeout_s
        return progress.last_byte_at + self.piece_timeout_s

    def _may_be_behind(self, other: Progress) -> bool:
        """Whether this response may be queued behind another on the link.

        It is not if the other call began after this one was due. Otherwise
        ever new calls could keep a lost one open.
        """
        return other.started_at < self._own_deadline()

    def _silence_deadline(self) -> float:
        """Returns when the call times out if no more bytes arrive."""
        arriving = [
            call.progress.last_byte_at
            for call in self.peer_calls
            if call.progress.is_arriving and self._may_be_behind(call.progress)
        ]
        delayed_at = max([self._delayed_at, *arriving])
        silent_at = max(self._own_deadline(), delayed_at + self.piece_timeout_s)
        return min(silent_at, self._arrival_deadline())

    def _arrival_deadline(self) -> float:
        """Returns when a response that arrives too slowly times out."""
        progress = self.progress
        if progress.first_byte_at is None:
            return float("inf")
        slowest_s = progress.received / _MIN_RECEIVE_BYTES_PER_S
        return progress.first_byte_at + _ARRIVAL_S + slowest_s


class Client:
    """Sends requests to peers and times out calls on which nothing arrives.

    A call is bounded by the time without arriving bytes, not by its total
    duration. With a bound on the total, a long response on a slow link would
    fail at every attempt.

    Args:
      limit: the maximum number of connections to one address.
    """

    def __init__(self, reactor: IReactorTCP, limit: int = 64):
        self._reactor = reactor
        self._limit = limit
        self._monitor = PeerMonitor(reactor.seconds, reactor.callLater)
        self._pools: dict[Address, Pool] = {}
        self._calls: dict[Address, set[_Call]] = {}

    def ask(
        self,
        address: Address,
        request: bytes,
        timeout_s: float,
        connect_s: float | None = None,
        silence_s: float | None = None,
        progress: Progress | None = None,
        max_bytes: int = _MAX_BODY_BYTES,
    ) -> Deferred[Reply | NoReply]:
        """Returns the response, or a NoReply that says how the call ended.

        The call ends as SILENT if no bytes arrive for too long. While a long
        response arrives from the same peer on another connection, this
        response may be queued behind it on the link, so the call does not time
        out. That holds only for responses to calls that began before this one
        was due.

        The call ends as UNSENT if it has no connection after `connect_s`. A
        connection that opens later is used for the next call.

        A cancelled call fails with CancelledError. If it returned NoReply
        instead, a cancelled task would treat that as a reply and continue: a
        process that is stopping would acquire a lease again and hold it after
        it has ended.

        Args:
          timeout_s: the longest time until the response begins. The time to
            send the request at _MIN_SEND_BYTES_PER_S is added.
          connect_s: the longest time until there is a connection, None for
            timeout_s.
          silence_s: the longest time between two pieces of the response, None
            for timeout_s.
          progress: records the bytes that arrive.
          max_bytes: the largest body; a longer one ends as DROPPED.
        """
        call = _Call(self._reactor, progress or Progress())
        call.first_byte_timeout_s = (
            timeout_s + len(request) / _MIN_SEND_BYTES_PER_S
        )
        call.max_bytes = max_bytes
        call.piece_timeout_s = timeout_s if silence_s is None else silence_s
        call.peer_calls = self._calls.setdefault(address, set())
        call.peer_calls.add(call)
        return call.begin(self.send(address, request, call), connect_s)

    def seconds(self) -> float:
        """Returns the clock's time in seconds, as used in Progress."""
        return self._reactor.seconds()

    def send(
        self, address: Address, request: bytes, receiver: ResponseReceiver
    ) -> PendingRequest:
        """Sends a request and passes the response on as it arrives."""
        pool = self._pool(address)
        return pool.send(request, receiver, lambda head, is_first: True)

    def check_listening(
        self, address: Address, done: Callable[[bool], None]
    ) -> None:
        """Calls `done` with whether a peer still listens."""
        self._pool(address).check_listening(done)

    def _pool(self, address: Address) -> Pool:
        pool = self._pools.get(address)
        if pool is None:
            clock = self._reactor.seconds
            pool = Pool(
                self._reactor,
                address,
                self._limit,
                clock,
                monitor=self._monitor,
            )
            self._pools[address] = pool
        return pool

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
        self._monitor.stop()
