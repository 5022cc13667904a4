"""Callers' connections to the gateway."""

from twisted.internet.protocol import Factory
from twisted.web.http import HTTPChannel, Request

from magnolialug.carrier.connection import enable_dead_peer_detection
from magnolialug.entry.intake import BoundedBody, IntakeChannel
from magnolialug.result import Code, failed

__all__ = ["GatewayChannel", "GatewayFactory", "GatewayRequest"]

# A caller reuses a connection up to its announced idle limit; closing a
# little later than that means that no request crosses the close.
_IDLE_SLACK_S = 0.5
# The header limit is the operator's; the body may take this long after it.
_BODY_S = 30.0


class GatewayRequest(BoundedBody, Request):
    """A request that is passed on as it came.

    The library's parsing of forms, cookies and arguments is left out: what
    is not looked at costs nothing and cannot be misread.
    """

    defaultContentType = None

    def parseCookies(self) -> None:
        """Leaves cookies as they are."""

    def requestReceived(self, command, path, version) -> None:
        """Hands a whole request to the gateway."""
        if self.refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.channel.factory.handle(self)

    def body(self) -> bytes:
        """Returns the whole body."""
        return self.content.getvalue()


class GatewayChannel(IntakeChannel):
    """One caller's connection.

    Its times are looked at by a sweep over all connections, which costs less
    than a timer each and follows changed limits at once.

    Attributes:
      since: when the connection became idle, or the request began to come.
      reading: whether part of a request has come.
      in_body: whether its headers are whole.
    """

    requestFactory = GatewayRequest
    timeOut = None
    reading = False
    in_body = False

    def body_limit(self) -> int:
        """Returns the most bytes that a body may have."""
        return self.factory.limits().body_bytes

    def connectionMade(self) -> None:
        """Joins the factory's connections."""
        self.totalHeadersSize = self.factory.limits().header_bytes
        self.since = self.factory.clock()
        super().connectionMade()
        enable_dead_peer_detection(self.transport)
        self.factory.channels.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes from the caller."""
        if not self.busy and not self.reading:
            self.reading = True
            self.since = self.factory.clock()
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Goes on to the body."""
        self.in_body = True
        super().allHeadersReceived()

    def allContentReceived(self) -> None:
        """Goes on to the answer."""
        self.reading = self.in_body = False
        super().allContentReceived()

    def requestDone(self, request) -> None:
        """Goes on to the next request of the connection."""
        self.since = self.factory.clock()
        self.totalHeadersSize = self.factory.limits().header_bytes
        super().requestDone(request)

    def connectionLost(self, reason) -> None:
        """Leaves the factory's connections."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    @property
    def busy(self) -> bool:
        """Whether a whole request is being answered."""
        return self._handlingRequest

    @property
    def between(self) -> bool:
        """Whether nothing of a request has come."""
        return not self.reading and not self.busy

    def sweep(self, now: float) -> None:
        """Ends a connection that has been idle or slow for too long."""
        limits = self.factory.limits()
        waited = now - self.since
        if self.busy:
            return
        if self.between:
            if waited > limits.idle_s + _IDLE_SLACK_S:
                self.loseConnection()
        elif self.in_body and waited > limits.header_s + _BODY_S:
            self.refuse(failed(Code.BODY_TOO_SLOW, field="(body)"))
        elif not self.in_body and waited > limits.header_s:
            self.refuse(failed(Code.BODY_TOO_SLOW, field="(headers)"))


class GatewayFactory(Factory):
    """Accepts callers' connections.

    Args:
      handle: gets each whole request.
      limits: returns the limits in force.
      clock: returns the time in seconds.
      later: calls back after some seconds.
    """

    noisy = False
    protocol = GatewayChannel

    def __init__(self, handle, limits, clock, later):
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.channels: set[GatewayChannel] = set()
        self._later = later

    def buildProtocol(self, addr) -> HTTPChannel:
        """Returns the channel of a new connection."""
        channel = super().buildProtocol(addr)
        channel.callLater = self._later
        return channel

    def log(self, request) -> None:
        """Keeps no access log of its own."""

    def sweep(self, now: float) -> None:
        """Looks at the times of all connections."""
        for channel in list(self.channels):
            channel.sweep(now)

    def close_idle(self) -> None:
        """Closes the connections on which nothing is under way."""
        for channel in list(self.channels):
            if channel.between:
                channel.loseConnection()
