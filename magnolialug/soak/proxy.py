"""A loopback TCP proxy that delays, holds, resets and silences."""

import enum
import socket
import struct
from collections import deque
from random import Random

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from magnolialug.carrier.pool import Address

__all__ = ["Path", "Proxy"]

_CONNECT_S = 5.0
# Closing with this option sends a reset in place of an orderly end.
_LINGER_NOTHING = struct.pack("ii", 1, 0)


class Path(enum.Enum):
    """What gets through. What does not waits until the path is open again."""

    OPEN = "open"
    HELD = "nothing passes"
    DEAF = "nothing reaches the server"
    MUTE = "nothing reaches the client"
    REFUSED = "new connections are reset"


class Proxy(Factory):
    """Stands in front of one server.

    Attributes:
      target: the server's address; it may change, for new connections.
      path: what gets through at the moment.
      delay_s: how much later bytes arrive.
    """

    noisy = False

    def __init__(self, reactor, target: Address):
        self.reactor = reactor
        self.target = target
        self.path = Path.OPEN
        self.delay_s = 0.0
        self.links: set[_Link] = set()

    def buildProtocol(self, addr) -> Protocol:
        """Joins a client to the server."""
        return _Link(self).near

    def opens(self, path: Path) -> None:
        """Changes what gets through."""
        self.path = path
        for link in list(self.links):
            link.pump()

    def reset(self, random: Random, share: float = 1.0) -> None:
        """Resets some of the connections that are open."""
        for link in list(self.links):
            if random.random() < share:
                link.reset()

    def silence(self, random: Random, share: float = 1.0) -> None:
        """Lets nothing pass any more on some of the open connections."""
        for link in list(self.links):
            if random.random() < share:
                link.silent = True


class _Link:
    """One connection of a client and the one to the server behind it."""

    def __init__(self, proxy: Proxy):
        self.proxy = proxy
        self.silent = False
        self.near = _Half(self)
        self.far = _Half(self)
        self.near.other, self.far.other = self.far, self.near
        proxy.links.add(self)

    def opened(self) -> None:
        """Connects to the server, or resets if that is the fault."""
        if self.proxy.path is Path.REFUSED:
            self.reset()
            return
        factory = _ToServer(self)
        host, port = self.proxy.target
        self.proxy.reactor.connectTCP(host, port, factory, _CONNECT_S)

    def reset(self) -> None:
        """Resets both connections."""
        self.proxy.links.discard(self)
        for half in (self.near, self.far):
            half.waiting.clear()
            half.end(reset=True)

    def pump(self) -> None:
        """Passes on what may pass now."""
        if self.silent:
            return
        path = self.proxy.path
        if path not in (Path.HELD, Path.DEAF):
            self.far.deliver()
        if path not in (Path.HELD, Path.MUTE):
            self.near.deliver()


class _ToServer(ClientFactory):
    """Connects one link to its server."""

    noisy = False

    def __init__(self, link: _Link):
        self.link = link

    def buildProtocol(self, addr) -> Protocol:
        """Returns the half that faces the server."""
        return self.link.far

    def clientConnectionFailed(self, connector, reason) -> None:
        """Learns that there is no server."""
        self.link.reset()


class _Half(Protocol):
    """One connection; `waiting` holds what is to be written to it."""

    def __init__(self, link: _Link):
        self.link = link
        self.other: _Half = self
        self.waiting: deque[tuple[float, bytes | None, bool]] = deque()
        self.over = False

    def connectionMade(self) -> None:
        """Begins to pass bytes on."""
        if self is self.link.near:
            self.link.opened()
        elif self.link.near.over and self.link not in self.link.proxy.links:
            self.end(reset=True)
        self.link.pump()

    def dataReceived(self, data: bytes) -> None:
        """Takes bytes for the other side."""
        self._pass(data, reset=False)

    def connectionLost(self, reason) -> None:
        """Passes the end on; bytes before a reset are lost."""
        self.over = True
        self.link.proxy.links.discard(self.link)
        reset = reason.check(ConnectionDone) is None
        if reset:
            self.other.waiting.clear()
        self._pass(None, reset)

    def _pass(self, data: bytes | None, reset: bool) -> None:
        proxy = self.link.proxy
        due = proxy.reactor.seconds() + proxy.delay_s
        self.other.waiting.append((due, data, reset))
        proxy.reactor.callLater(proxy.delay_s, self.link.pump)

    def deliver(self) -> None:
        """Writes what is due."""
        if not self.connected:
            return
        now = self.link.proxy.reactor.seconds()
        while self.waiting and self.waiting[0][0] <= now:
            _, data, reset = self.waiting.popleft()
            if data is None:
                self.end(reset)
            else:
                self.transport.write(data)

    def end(self, reset: bool) -> None:
        """Ends this connection."""
        if not self.connected or self.over:
            return
        if not reset:
            self.transport.loseConnection()
            return
        sock = self.transport.getHandle()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOTHING)
        self.transport.abortConnection()
