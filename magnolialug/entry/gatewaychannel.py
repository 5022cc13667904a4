"""HTTP connections from callers to the gateway."""

from collections.abc import Callable

from twisted.internet.protocol import Factory
from twisted.web.http import HTTPChannel, Request

from magnolialug.carrier.connection import enable_dead_peer_detection
from magnolialug.carrier.peermonitor import PeerMonitor
from magnolialug.config.routing import CallerLimits
from magnolialug.entry.boundedbody import BoundedBody
from magnolialug.entry.callermemory import CallerMemory
from magnolialug.entry.forwardcall import HeaderList
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.headernames import bound_name_cache
from magnolialug.entry.intakechannel import IntakeChannel
from magnolialug.entry.keepalive import IdleTerms, KeepAlive
from magnolialug.entry.readscheduler import ReadScheduler
from magnolialug.entry.requestbody import RequestBody
from magnolialug.policy.memorybudget import Charge
from magnolialug.result import Code, Failure, failed

__all__ = ["GatewayChannel", "GatewayFactory", "GatewayRequest"]

# Shorter pieces of an answer are counted with the next tick.
_COUNTED_BYTES = 4 * 1024
# The operator sets the time for the headers; the body may take this much more.
_BODY_TIMEOUT_S = 30.0


class GatewayRequest(BoundedBody, Request):
    """A request that is forwarded unchanged.

    Twisted's parsing of forms, cookies and arguments is skipped: the gateway
    does not need it, and it costs time and could misinterpret the request.
    """

    defaultContentType = None
    uri = b""
    # What its head told when that was complete.
    admitted = None

    def parseCookies(self) -> None:
        """Does not parse cookies."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.answer_charge = Charge()

    def requestReceived(self, command, path, version) -> None:
        """Passes a complete request to the gateway."""
        if self.refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        try:
            self.channel.factory.handle(self)
        except Exception:
            self.release()
            raise

    def reserve(self, more: int, answer: int) -> Failure | None:
        """Counts what a call holds besides its request.

        Args:
          more: bytes that were made of its head.
          answer: bytes of its answer that may be gathered.

        Returns:
          why there is no room, None if there is.
        """
        channel = self.channel
        charges = (
            (self.charge, self.charge.size + more),
            (self.answer_charge, answer),
        )
        for charge, size in charges:
            failure = channel.memory.admit(charge, size, channel)
            if failure is not None:
                return failure
        return None

    @property
    def may_read_ahead(self) -> bool:
        """Whether there is room for more of an answer that nobody reads."""
        channel = self.channel
        return channel.memory.budget.has_room_ahead(channel.charge)

    def release(self) -> None:
        """Lets go of all that is held for the request."""
        super().release()
        self._budget.release(self.answer_charge)

    def body(self) -> RequestBody:
        """Returns the complete body."""
        return self.received


class GatewayChannel(IntakeChannel):
    """One caller's connection.

    Time-outs are checked in one periodic pass over all connections. That
    costs less than a timer for each. A request is read by the limits that were
    in force when its first byte arrived: its caller cannot know later ones.

    Attributes:
      reading: whether part of a request has arrived.
      in_body: whether its headers are complete.
      idle_terms: how long it may be idle, as of its last answer.
    """

    requestFactory = GatewayRequest
    timeOut = None
    reading = False
    _overdue = False
    # Those in force when bytes behind the request in progress began to arrive.
    _limits_ahead: CallerLimits | None = None

    def body_limit(self) -> int:
        """Returns the maximum size of a body in bytes."""
        newest = self.factory.limits()
        return max(self._limits.body_bytes, newest.body_bytes)

    def connectionMade(self) -> None:
        """Adds the connection to the factory's set."""
        self.idle_terms = self.factory.keep_alive.terms()
        super().connectionMade()
        enable_dead_peer_detection(self.transport)
        self._watched = self.factory.monitor.watch(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Handles bytes from the caller."""
        limits = self._limits_ahead or self.factory.limits()
        if self.is_idle:
            self._begin_request(limits)
        super().dataReceived(data)
        if self._is_pipelined:
            self._limits_ahead = limits
        elif self.is_idle and self._has_partial_request:
            self._begin_request(limits)

    def allContentReceived(self) -> None:
        """Ends the reading of a request."""
        self.reading = False
        super().allContentReceived()

    def writeSequence(self, iovec) -> None:
        """Writes the head of an answer, or more of it."""
        super().writeSequence(iovec)
        self._watched.record_write()
        self.count_memory()

    def write(self, data) -> None:
        """Writes a piece of an answer."""
        super().write(data)
        self._watched.record_write()
        if len(data) >= _COUNTED_BYTES:
            self.count_memory()

    def requestDone(self, request) -> None:
        """Prepares for the next request of the connection."""
        self.phase_started_at = self.factory.clock()
        self._read_by(self._limits_ahead or self.factory.limits())
        if self.factory.keep_alive.stopping and not self._is_pipelined:
            # The answer may have named a time that outlasts the process.
            # Closing right behind its last byte leaves none of that time.
            self.persistent = False
        super().requestDone(request)
        if not self._is_pipelined and not self._buffer:
            self._limits_ahead = None

    def refuse(self, failure: Failure) -> None:
        """Sends the error, and closes after the caller had time to read it."""
        super().refuse(failure)
        self._watched.record_write()

    def loseConnection(self) -> None:
        """Closes the connection when its caller has read all."""
        self._watched.leave_to_kernel()
        super().loseConnection()

    def connectionLost(self, reason) -> None:
        """Ends the checks of the connection."""
        self._watched.forget()
        super().connectionLost(reason)

    def postpone(self, waited_s: float) -> None:
        """Puts off the caller's times by what it was kept waiting here."""
        super().postpone(waited_s)
        self.phase_started_at += waited_s

    def reuse_headers(self) -> HeaderList:
        """Returns the headers that say how long the connection stays open.

        What they say holds from the end of the answer that they begin.
        """
        keep_alive = self.factory.keep_alive
        self.idle_terms = keep_alive.terms()
        seconds = self.idle_terms.announced_s
        # Requests that were read behind this one are answered first.
        closes = keep_alive.stopping and not self._is_pipelined
        if closes or not seconds:
            self.persistent = False
        if not self.persistent:
            return [(b"Connection", b"close")]
        return [
            (b"Connection", b"keep-alive"),
            (b"Keep-Alive", b"timeout=%d" % seconds),
        ]

    @property
    def busy(self) -> bool:
        """Whether a complete request is being answered."""
        return self._handlingRequest

    @property
    def _is_pipelined(self) -> bool:
        """Whether bytes have arrived behind the request in progress."""
        is_behind = self._handlingRequest and bool(self._buffer)
        return is_behind or any(self._dataBuffer)

    @property
    def _has_partial_request(self) -> bool:
        """Whether the parser holds a part of a request, if it is not busy."""
        return bool(self.requests or self._buffer)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self.reading and not self.busy

    def check_timeouts(
        self, now: float, allowed_s: Callable[[IdleTerms], float]
    ) -> None:
        """Closes an idle connection or refuses a slow request when due.

        This takes two passes. What arrived in time while the process stood
        still is read between them.

        Args:
          allowed_s: returns the longest idle time under some terms.
        """
        if self._handlingRequest or self._unsent_since is not None:
            self.count_memory()
        if self._handlingRequest or self.is_deferred:
            self._overdue = False
            return
        idle = not self.reading
        limit_s = allowed_s(self.idle_terms) if idle else self._read_limit_s()
        overdue = now - self.phase_started_at > limit_s
        if overdue and self._overdue:
            self._end_phase()
        self._overdue = overdue

    def _begin_request(self, limits: CallerLimits) -> None:
        """Starts the time and the limits of a request's headers."""
        self.reading = True
        self.phase_started_at = self.factory.clock()
        self._read_by(limits)

    def _read_by(self, limits: CallerLimits) -> None:
        """Sets the limits by which the next request is read."""
        self._limits = limits
        self.totalHeadersSize = limits.header_bytes

    def _read_limit_s(self) -> float:
        """Returns how long the current part of a request may take."""
        header_s = max(self._limits.header_s, self.factory.limits().header_s)
        return header_s + _BODY_TIMEOUT_S if self.in_body else header_s

    def _end_phase(self) -> None:
        """Closes an idle connection, refuses a request that is too slow."""
        if self.is_idle:
            self._close_idle()
            return
        field = "(body)" if self.in_body else "(headers)"
        self.refuse(failed(Code.BODY_TOO_SLOW, field=field))

    def _close_idle(self) -> None:
        if not self.transport.disconnecting:
            self.factory.on_idle_closed()
            self.loseConnection()


class GatewayFactory(Factory):
    """Accepts callers' connections.

    Args:
      handle: receives each complete request.
      check_head: returns why a request is refused before its body is read,
        None if it is not.
      record_refusal: is told of each request that a connection refuses.
      limits: returns the current limits.
      memory: admits what is held for callers.
      monitor: closes connections whose callers are gone.
      keep_alive: decides how long connections may be idle.
      clock: returns the time in seconds.
      call_later: calls a function after a delay in seconds.
      accepts: returns whether a new connection is accepted.
    """

    noisy = False
    protocol = GatewayChannel

    def __init__(
        self,
        handle,
        check_head,
        record_refusal,
        limits,
        memory: CallerMemory,
        monitor: PeerMonitor,
        keep_alive: KeepAlive,
        metrics: GatewayMetrics,
        clock,
        call_later,
        accepts,
    ):
        bound_name_cache()
        self.handle = handle
        self.check_head = check_head
        self.record_refusal = record_refusal
        self.limits = limits
        self.memory = memory
        self.keep_alive = keep_alive
        self._metrics = metrics
        self.clock = clock
        self.channels: set[GatewayChannel] = set()
        self._call_later = call_later
        self.scheduler = ReadScheduler(call_later)
        self.monitor = monitor
        self._accepts = accepts

    def buildProtocol(self, addr) -> HTTPChannel | None:
        """Returns the channel for a new connection, None to close it."""
        if not self._accepts():
            return None
        channel = super().buildProtocol(addr)
        channel.callLater = self._call_later
        return channel

    def log(self, request) -> None:
        """Writes no access log."""

    def on_idle_closed(self) -> None:
        """Counts an idle connection that is closed."""
        reason = "stop" if self.keep_alive.stopping else "idle"
        self._metrics.idle_connections_closed.add(1, {"reason": reason})

    def check_timeouts(self, now: float) -> None:
        """Checks the time-outs of all connections."""
        allowed_s = self.keep_alive.expiry()
        for channel in list(self.channels):
            channel.check_timeouts(now, allowed_s)
