"""The connections of one process to one endpoint."""

from collections.abc import Callable

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IDelayedCall, IReactorTCP
from twisted.internet.protocol import ClientFactory

from magnolialug.carrier.connection import Connection
from magnolialug.carrier.reader import Head
from magnolialug.carrier.taker import End, Taker

__all__ = ["CONNECT_S", "Address", "Flight", "Pool"]

# An opening packet that is dropped at a full queue is sent again after a
# second, so waiting longer gains one more try at a peer that is in trouble.
CONNECT_S = 0.9
# A connection that is closed this soon, before anything was asked on it, was
# not taken by an endpoint: it closes idle ones after seconds.
_PROBE_S = 0.1

Address = tuple[str, int]


class Flight:
    """One request on its way, whether or not it has a connection yet.

    It stands between the connection and the taker, so that a connection that
    already carries the next request is never dropped in the name of an
    earlier one.

    Attributes:
      over: whether the exchange has ended.
    """

    def __init__(
        self, request: bytes, taker: Taker, answers: Callable[[Head], bool]
    ):
        self.over = False
        self.on_head = taker.on_head
        self.on_data = taker.on_data
        self._request = request
        self._taker = taker
        self._answers = answers
        self._conn: Connection | None = None

    def begin(self, conn: Connection) -> None:
        """Sends the request on a connection."""
        self._conn = conn
        conn.exchange(self._request, self, self._answers)

    def on_end(self, end: End) -> None:
        """Takes the end of the exchange."""
        if self.over:
            return
        self.over = True
        self._conn = None
        self._taker.on_end(end)

    def drop(self) -> None:
        """Ends the exchange as DROPPED; the endpoint sees the close."""
        conn = self._conn
        self.on_end(End.DROPPED)
        if conn is not None:
            conn.drop()

    def silent(self) -> None:
        """Ends the exchange because nothing has come for too long."""
        conn = self._conn
        self.on_end(End.SILENT if conn is not None else End.UNSENT)
        if conn is not None:
            conn.drop()

    def unopened(self) -> None:
        """Ends the exchange if it still has no connection."""
        if self._conn is None:
            self.on_end(End.UNSENT)

    def pause(self) -> None:
        """Holds the endpoint back."""
        if self._conn is not None:
            self._conn.pause()

    def resume(self) -> None:
        """Lets the endpoint go on."""
        if self._conn is not None:
            self._conn.resume()


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, build, failed):
        self.buildProtocol = build
        self._failed = failed

    def clientConnectionFailed(self, connector, reason) -> None:
        """Reports a connection that could not be made, and if refused."""
        self._failed(reason.check(ConnectionRefusedError) is not None)


class Pool:
    """Reuses connections, the one used last first, within a limit.

    Args:
      limit: most connections at once.
      clock: returns the time in seconds.
      opened: is told of each new connection that is attempted.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        address: Address,
        limit: int,
        clock: Callable[[], float],
        opened: Callable[[], None] = lambda: None,
    ):
        self.address = address
        self.limit = limit
        self._reactor = reactor
        self._clock = clock
        self._opened = opened
        self._idle: list[Connection] = []
        self._all: set[Connection] = set()
        self._connecting = 0
        self._closed = False

    @property
    def open(self) -> int:
        """How many connections exist or are being made."""
        return len(self._all) + self._connecting

    @property
    def room(self) -> bool:
        """Whether one more request can have a connection."""
        return bool(self._idle) or self.open < self.limit

    def send(
        self, request: bytes, taker: Taker, answers: Callable[[Head], bool]
    ) -> Flight:
        """Sends a request on a free or a new connection.

        Without room the flight ends as UNSENT, in a later turn.
        """
        flight = Flight(request, taker, answers)
        while self._idle:
            conn = self._idle.pop()
            if conn.usable:
                flight.begin(conn)
                return flight
            conn.close()
        if self._closed or self.open >= self.limit:
            self._reactor.callLater(0, flight.on_end, End.UNSENT)
            return flight
        self._connect(flight)
        return flight

    def trim(self) -> None:
        """Closes idle connections that may not be used any more."""
        kept = []
        for conn in self._idle:
            if conn.usable:
                kept.append(conn)
            else:
                conn.close()
        self._idle = kept

    def close(self) -> None:
        """Closes idle connections; those in use close when they are done."""
        self._closed = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Closes idle connections; new ones may be made."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def probe(self, done: Callable[[bool], None]) -> None:
        """Finds out whether the endpoint has ended.

        It has if it refuses a connection, or whatever stands before it closes
        one at once, and no other one is left: an endpoint that has too many
        refuses further ones too, and keeps those.

        Args:
          done: is told.
        """
        timers: list[IDelayedCall] = []

        def opened(conn: Connection) -> None:
            timers.append(self._reactor.callLater(_PROBE_S, spared, conn))

        def spared(conn: Connection) -> None:
            conn.close()
            done(False)

        def gone(conn: Connection) -> None:
            self._gone(conn)
            if timers[0].active():
                timers[0].cancel()
                done(not self._all)

        def failed(refused: bool) -> None:
            done(refused and not self._all)

        self._dial(opened, failed, gone)

    def _connect(self, flight: Flight) -> None:
        def opened(conn: Connection) -> None:
            if flight.over:
                self._free(conn)
            else:
                flight.begin(conn)

        def failed(refused: bool) -> None:
            flight.on_end(End.UNSENT)

        self._dial(opened, failed, self._gone)

    def _dial(
        self,
        on_open: Callable[[Connection], None],
        on_failed: Callable[[bool], None],
        on_gone: Callable[[Connection], None],
    ) -> None:
        """Makes a connection, or tells that it failed and if it was refused."""
        self._connecting += 1
        self._opened()

        def opened(conn: Connection) -> None:
            self._connecting -= 1
            self._all.add(conn)
            on_open(conn)

        def failed(refused: bool) -> None:
            self._connecting -= 1
            on_failed(refused)

        conn = Connection(self._clock, opened, self._free, on_gone)
        factory = _Factory(lambda _: conn, failed)
        host, port = self.address
        self._reactor.connectTCP(host, port, factory, timeout=CONNECT_S)

    def _free(self, conn: Connection) -> None:
        if self._closed:
            conn.close()
        else:
            self._idle.append(conn)

    def _gone(self, conn: Connection) -> None:
        self._all.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
