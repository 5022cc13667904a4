"""Pool of the connections of one process to one endpoint."""

from collections.abc import Callable, Sequence

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import ClientFactory

from magnolialug.carrier.connection import AcceptsHead, Connection
from magnolialug.carrier.listeningcheck import check_listening
from magnolialug.carrier.peermonitor import PeerMonitor
from magnolialug.carrier.responsereceiver import End, ResponseReceiver

__all__ = ["CONNECT_S", "Address", "PendingRequest", "Pool"]

# A SYN that is dropped at a full queue is sent again after 1 s. A longer
# time-out would only add one more attempt at a peer with problems.
CONNECT_S = 0.9
# An endpoint closes idle connections only after seconds. A connection that is
# closed within this time, before any request, was therefore not accepted by an
# endpoint.
_PROBE_CLOSE_S = 0.1
# Far above the time in which a killed process closes its files.
_STAYS_OPEN_S = 0.05

Address = tuple[str, int]


class PendingRequest:
    """Handle of one request, which may not have a connection yet.

    It detaches from its connection when the exchange ends. Dropping an ended
    request can therefore not close a connection that already carries the next
    request.

    Attributes:
      ended: whether the exchange has ended.
    """

    def __init__(
        self,
        request: bytes,
        receiver: ResponseReceiver,
        accepts_head: AcceptsHead,
        body: Sequence[bytes],
    ):
        self.ended = False
        self.on_head = receiver.on_head
        self.on_data = receiver.on_data
        self._request = request
        self._body = body
        self._receiver = receiver
        self._accepts_head = accepts_head
        self._conn: Connection | None = None

    def begin(self, conn: Connection) -> None:
        """Sends the request on a connection."""
        self._conn = conn
        request, body = self._request, self._body
        self._request, self._body = b"", ()
        conn.exchange(request, self, self._accepts_head, body)

    def on_end(self, end: End) -> None:
        """Reports the end of the exchange to the receiver, once."""
        if self.ended:
            return
        self.ended = True
        self._conn = None
        self._request, self._body = b"", ()
        self._receiver.on_end(end)

    def drop(self) -> None:
        """Ends the exchange as DROPPED and closes its connection."""
        conn = self._conn
        self.on_end(End.DROPPED)
        if conn is not None:
            conn.drop()

    def time_out(self) -> None:
        """Ends the exchange as SILENT, or UNSENT if it has no connection."""
        conn = self._conn
        self.on_end(End.SILENT if conn is not None else End.UNSENT)
        if conn is not None:
            conn.drop()

    def fail_unless_connected(self) -> None:
        """Ends the exchange as UNSENT if it still has no connection."""
        if self._conn is None:
            self.on_end(End.UNSENT)

    def pause(self) -> None:
        """Stops reading the response."""
        if self._conn is not None:
            self._conn.pause()

    def resume(self) -> None:
        """Resumes reading the response."""
        if self._conn is not None:
            self._conn.resume()


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, build, failed):
        self.buildProtocol = build
        self._failed = failed

    def clientConnectionFailed(self, connector, reason) -> None:
        """Reports a failed connection attempt and whether it was refused."""
        self._failed(reason.check(ConnectionRefusedError) is not None)


class Pool:
    """Reuses up to `limit` connections, the most recently used one first.

    Args:
      limit: the maximum number of connections at once.
      clock: returns the time in seconds.
      opened: called at each attempt to make a connection.
      monitor: closes connections if the endpoint is gone; None for a monitor
        of its own.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        address: Address,
        limit: int,
        clock: Callable[[], float],
        opened: Callable[[], None] = lambda: None,
        monitor: PeerMonitor | None = None,
    ):
        self.address = address
        self.limit = limit
        self._reactor = reactor
        self._clock = clock
        self._opened = opened
        self._monitor = monitor or PeerMonitor(clock, reactor.callLater)
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()
        self._connecting = 0
        self._closed = False

    @property
    def connection_count(self) -> int:
        """The number of connections that are open or being made."""
        return len(self._all) + self._connecting

    @property
    def has_capacity(self) -> bool:
        """Whether a connection is idle or a further one may be made."""
        return bool(self._idle) or self.connection_count < self.limit

    def send(
        self,
        request: bytes,
        receiver: ResponseReceiver,
        accepts_head: AcceptsHead,
        body: Sequence[bytes] = (),
    ) -> PendingRequest:
        """Sends a request on an idle or a new connection.

        At the limit, the request ends as UNSENT in a later reactor iteration.
        """
        pending = PendingRequest(request, receiver, accepts_head, body)
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                pending.begin(conn)
                return pending
            conn.close()
        if self._closed or self.connection_count >= self.limit:
            self._reactor.callLater(0, pending.on_end, End.UNSENT)
            return pending
        self._connect(pending)
        return pending

    def trim(self) -> None:
        """Closes idle connections that can no longer be reused."""
        usable_idle = []
        for conn in self._idle:
            if conn.usable:
                usable_idle.append(conn)
            else:
                conn.close()
        self._idle = usable_idle

    def close(self) -> None:
        """Closes idle connections; those in use close after their exchange."""
        self._closed = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Closes idle connections; further ones can still be made."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def check_listening(
        self,
        done: Callable[[bool], None],
        stays_open_s: float = _STAYS_OPEN_S,
    ) -> None:
        """Calls `done` with whether the endpoint still listens.

        Args:
          stays_open_s: how long a connection must stay open to tell.
        """
        check_listening(self, self._reactor.callLater, stays_open_s, done)

    def keep(self, conn: Connection) -> None:
        """Takes an unused connection for the next request."""
        if self.connection_count > self.limit:
            conn.close()
        else:
            self._add_idle(conn)

    def probe(self, done: Callable[[bool], None]) -> None:
        """Determines whether the endpoint has ended.

        It has ended if a new connection is refused, or is closed at once by an
        intermediary in front of it, and the pool has no other connection. An
        endpoint that has too many connections refuses further ones too, but
        keeps the existing ones open.

        Args:
          done: called with whether the endpoint has ended.
        """
        timers: list[IDelayedCall] = []

        def opened(conn: Connection) -> None:
            timers.append(
                self._reactor.callLater(_PROBE_CLOSE_S, stayed_open, conn)
            )

        def stayed_open(conn: Connection) -> None:
            conn.close()
            done(False)

        def closed(conn: Connection) -> None:
            if timers[0].active():
                timers[0].cancel()
                done(not self._all)

        def failed(refused: bool) -> None:
            done(refused and not self._all)

        self.open_connection(opened, failed, closed)

    def _connect(self, pending: PendingRequest) -> None:
        def opened(conn: Connection) -> None:
            if pending.ended:
                self._add_idle(conn)
            else:
                pending.begin(conn)

        def failed(refused: bool) -> None:
            pending.on_end(End.UNSENT)

        self.open_connection(opened, failed, lambda conn: None)

    def open_connection(
        self,
        on_open: Callable[[Connection], None],
        on_failed: Callable[[bool], None],
        on_closed: Callable[[Connection], None],
        timeout_s: float = CONNECT_S,
    ) -> None:
        """Makes a connection.

        Args:
          on_open: called with the connection when it is made.
          on_failed: called if it cannot be made, with whether it was refused.
          on_closed: called with the connection when it is closed.
        """
        self._connecting += 1
        self._opened()

        def opened(conn: Connection) -> None:
            self._connecting -= 1
            self._all.add(conn)
            on_open(conn)

        def failed(refused: bool) -> None:
            self._connecting -= 1
            on_failed(refused)

        def closed(conn: Connection) -> None:
            self._remove(conn)
            on_closed(conn)

        conn = Connection(
            self._clock, opened, self._add_idle, closed, self._monitor
        )
        factory = _Factory(lambda _: conn, failed)
        host, port = self.address
        self._reactor.connectTCP(host, port, factory, timeout=timeout_s)

    def _add_idle(self, conn: Connection) -> None:
        if self._closed:
            conn.close()
        else:
            self._idle.append(conn)

    def _remove(self, conn: Connection) -> None:
        self._all.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
