"""TCP and UDP in memory on a virtual clock, with the faults of real ones."""

import socket
import struct

from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TCPTimedOutError,
)
from twisted.internet.interfaces import IPushProducer, ITCPTransport
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from zope.interface import implementer

LATENCY_S = 0.001
LINGER = (socket.SOL_SOCKET, socket.SO_LINGER)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A slow link carries the bytes of its connections by turns, in such pieces.
PIECE_BYTES = 4096


class Handle:
    """A socket that remembers its options."""

    def __init__(self):
        self.options = {}

    def setsockopt(self, level, name, value):
        """Remembers an option."""
        self.options[(level, name)] = value

    def getsockopt(self, level, name, size):
        """Returns the state of a connection whose peer acknowledges all."""
        return bytes(size)


@implementer(ITCPTransport, IPushProducer)
class Pipe:
    """One end of a connection."""

    disconnecting = False

    def __init__(self, net, protocol, latency_s=LATENCY_S):
        self.net = net
        self.protocol = protocol
        self.latency_s = latency_s
        self.peer = None
        self.address = None
        self.closed = False
        self.silent = False
        self.paused = False
        self.producer = None
        self.handle = Handle()
        self.sent = b""
        self._waiting = b""
        self._unread_end = None

    def write(self, data):
        """Sends bytes."""
        if self.closed or self.disconnecting:
            return
        self.sent += data
        if self.silent:
            return
        link = self.net.links.get(self.peer.address)
        if link is None:
            delay_s = self.latency_s + self.net.held_s(self.peer)
            self.net.callLater(delay_s, self.peer.arrive, data)
        else:
            link.send(self.peer, data)

    def writeSequence(self, pieces):
        """Sends bytes."""
        self.write(b"".join(pieces))

    def arrive(self, data):
        """Takes bytes from the other end; none is read after a close."""
        if self.closed or self.disconnecting:
            return
        if self.paused:
            self._waiting += data
            return
        self.protocol.dataReceived(data)

    def loseConnection(self):
        """Closes in order."""
        if self.closed or self.disconnecting:
            return
        if self.handle.options.get(LINGER) == RESET_ON_CLOSE:
            self.abortConnection()
            return
        self.disconnecting = True
        self.net.callLater(LATENCY_S, self.end, ConnectionDone())
        if not self.silent:
            self.net.callLater(self.latency_s, self.peer.end, ConnectionDone())

    def abortConnection(self):
        """Resets."""
        if self.closed:
            return
        self.disconnecting = True
        self.net.callLater(0, self.end, ConnectionLost())
        if not self.silent:
            self.net.callLater(self.latency_s, self.peer.end, ConnectionLost())

    def end(self, reason):
        """Is closed; an orderly close is read behind what is held back."""
        if self.paused and not self.disconnecting and _is_orderly(reason):
            self._unread_end = reason
        elif not self.closed:
            self.closed = True
            self.protocol.connectionLost(Failure(reason))

    def pauseProducing(self):
        """Holds back what arrives."""
        self.paused = True

    def resumeProducing(self):
        """Lets through what was held back."""
        self.paused = False
        data, self._waiting = self._waiting, b""
        if data:
            self.arrive(data)
        reason, self._unread_end = self._unread_end, None
        if reason is not None:
            self.end(reason)

    def stopProducing(self):
        """Closes in order."""
        self.loseConnection()

    def registerProducer(self, producer, streaming):
        """Takes whom to hold back, or to ask for each piece."""
        self.producer = producer
        if not streaming:
            self._pull(producer)

    def _pull(self, producer):
        """Asks for the next piece, as long as there may be one."""
        if self.producer is producer and not self.closed:
            self.net.callLater(self.latency_s, self._pull, producer)
            producer.resumeProducing()

    def unregisterProducer(self):
        """Forgets whom to hold back."""
        self.producer = None

    def setTcpNoDelay(self, on):
        """Has nothing to set."""

    def getHandle(self):
        """Returns the socket."""
        return self.handle

    def getPeer(self):
        """Returns no address that matters."""
        return

    getHost = getPeer


def _is_orderly(reason):
    return isinstance(reason, ConnectionDone)


class SlowLink:
    """Bounds what arrives from a server, over all connections to it.

    Args:
      rate: bytes a second.
    """

    def __init__(self, net, rate):
        self.net = net
        self.rate = rate
        self.carried = 0
        self._waiting = {}
        self._busy = False

    def send(self, pipe, data):
        """Queues bytes for the near end of a connection."""
        self._waiting[pipe] = self._waiting.get(pipe, b"") + data
        if not self._busy:
            self._next()

    def _next(self):
        self._busy = bool(self._waiting)
        if not self._busy:
            return
        pipe = next(iter(self._waiting))
        data = self._waiting.pop(pipe)
        piece, rest = data[:PIECE_BYTES], data[PIECE_BYTES:]
        if rest:
            self._waiting[pipe] = rest
        self.net.callLater(len(piece) / self.rate, self._arrive, pipe, piece)

    def _arrive(self, pipe, piece):
        self.carried += len(piece)
        if not pipe.silent:
            pipe.arrive(piece)
        if pipe.closed or pipe.disconnecting:
            self._waiting.pop(pipe, None)
        self._next()


class Datagrams:
    """One end of datagrams."""

    def __init__(self, net, address):
        self.net = net
        self.address = address

    def write(self, data, address):
        """Sends a datagram, unless the network loses it."""
        if not self.net.loses_datagram(self.address, address):
            self.net.callLater(LATENCY_S, self.arrive, data, address)

    def arrive(self, data, address):
        """Hands a datagram to whoever listens."""
        protocol = self.net.listeners.get(address)
        if protocol is not None:
            protocol.datagramReceived(data, self.address)


class Network(Clock):
    """A reactor whose sockets are in memory.

    Attributes:
      servers: factories by address.
      dark: addresses that do not answer at all.
      links: the slow links to servers, by address.
      listeners: takers of datagrams by address.
      loses_datagram: tells from sender and receiver whether one gets lost.
      held_s: for how long what is sent to an end of a connection is held up.
    """

    def __init__(self):
        super().__init__()
        self.servers = {}
        self.dark = set()
        self.links = {}
        self.pipes = []
        self.dialled = []
        self.listeners = {}
        self.loses_datagram = lambda sender, receiver: False
        self.held_s = lambda receiver: 0.0

    def connectTCP(self, host, port, factory, timeout=30, **kwargs):
        """Connects to a server, or fails."""
        address = (host, port)
        self.dialled.append(address)
        if address in self.dark:
            self.callLater(timeout, self._fail, factory, TCPTimedOutError())
        elif address not in self.servers:
            refused = ConnectionRefusedError()
            self.callLater(LATENCY_S, self._fail, factory, refused)
        else:
            self._connect_when_through(address, factory, timeout)

    def _connect_when_through(self, address, factory, timeout):
        """Connects when what the server says to it is not held up."""
        near = Pipe(self, None)
        near.address = address
        delay_s = LATENCY_S + self.held_s(near)
        if delay_s > timeout:
            self.callLater(timeout, self._fail, factory, TCPTimedOutError())
        else:
            self.callLater(delay_s, self._join, address, factory)

    def connect(self, protocol, address, latency_s=LATENCY_S):
        """Joins a client's protocol to a server at once."""
        return self._pair(protocol, self.servers[address], latency_s)

    def cut(self, address):
        """Cuts the paths to a server; nobody sees a connection end."""
        self.dark.add(address)
        self.silence(address)

    def slow_link(self, address, rate):
        """Bounds what arrives from a server to some bytes a second."""
        self.links[address] = link = SlowLink(self, rate)
        return link

    def silence(self, address):
        """Silences open connections to a server; new ones work."""
        for pipe in self.pipes:
            if pipe.address == address:
                pipe.silent = pipe.peer.silent = True

    def heal(self, address):
        """Lets new connections to a server through again."""
        self.dark.discard(address)

    def listenUDP(self, port, protocol, interface=""):
        """Begins to take datagrams."""
        self.listeners[(interface, port)] = protocol
        protocol.transport = Datagrams(self, (interface, port))

    def advance_by(self, seconds, step=0.005):
        """Lets time pass in small steps."""
        for _ in range(max(1, round(seconds / step))):
            self.advance(step)

    def _fail(self, factory, error):
        factory.clientConnectionFailed(None, Failure(error))

    def _join(self, address, factory):
        if address not in self.servers:
            self._fail(factory, ConnectionRefusedError())
            return
        near = self._pair(factory.buildProtocol(None), self.servers[address])
        near.address = address

    def _pair(self, protocol, server, latency_s=LATENCY_S):
        other = server.buildProtocol(None)
        if other is None:
            return self._pair_with_closed(protocol)
        other.factory = getattr(other, "factory", server)
        near = Pipe(self, protocol, latency_s)
        far = Pipe(self, other, latency_s)
        near.peer, far.peer = far, near
        self.pipes += [near, far]
        other.makeConnection(far)
        protocol.makeConnection(near)
        return near

    def _pair_with_closed(self, protocol):
        """Joins a client's protocol to a server that closes at once."""
        near = Pipe(self, protocol)
        near.peer = Pipe(self, Protocol())
        near.peer.closed = True
        protocol.makeConnection(near)
        self.callLater(LATENCY_S, near.end, ConnectionLost())
        return near


class RunningNetwork(Network):
    """A network whose clock runs on while a segment is read."""

    def seconds(self):
        """Returns the time, later at each call."""
        self.rightNow += 1e-6
        return self.rightNow
