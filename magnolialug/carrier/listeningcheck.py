"""Determines whether an endpoint still listens."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall

from magnolialug.carrier.connection import Connection

__all__ = ["Connector", "ListeningCheck"]

# A process that is killed closes its files one after another, in any order, and
# can be preempted in between.
_STAYS_OPEN_S = 0.05
# Pauses before further tries, in which a process that ends has ended.
_RETRY_PAUSES_S = (0.02, 0.06)
# Far above a round trip; a lost SYN is sent again by the next try.
_CONNECT_S = 0.25


class Connector(Protocol):
    """The pool of connections to the endpoint."""

    def open_connection(
        self,
        on_open: Callable[[Connection], None],
        on_failed: Callable[[bool], None],
        on_closed: Callable[[Connection], None],
        timeout_s: float,
    ) -> None:
        """Makes a connection that nobody uses yet."""

    def keep(self, conn: Connection) -> None:
        """Takes such a connection for the next request."""


class ListeningCheck:
    """Makes a connection, which the next request can use.

    The kernel closes the listener of a process that ends, however it ends, and
    then refuses connections. An endpoint that has too many accepts further ones
    and closes them at once; a process that ends may, for a moment.

    Checks that are asked for meanwhile wait for the next one: a connection
    that was begun before a close proves nothing about it.
    """

    def __init__(
        self,
        connector: Connector,
        call_later: Callable[..., IDelayedCall],
    ):
        self._connector = connector
        self._call_later = call_later
        self._asking: list[Callable[[bool], None]] = []
        self._waiting: list[Callable[[bool], None]] = []
        self._pauses: list[float] = []

    def ask(self, done: Callable[[bool], None]) -> None:
        """Calls `done` with whether the endpoint still listens."""
        self._waiting.append(done)
        if not self._asking:
            self._begin()

    def _begin(self) -> None:
        self._asking, self._waiting = self._waiting, []
        self._pauses = list(_RETRY_PAUSES_S)
        self._try()

    def _try(self) -> None:
        timers: list[IDelayedCall] = []

        def opened(conn: Connection) -> None:
            timers.append(self._call_later(_STAYS_OPEN_S, stayed_open, conn))

        def stayed_open(conn: Connection) -> None:
            self._connector.keep(conn)
            self._finish(True)

        def closed(conn: Connection) -> None:
            if timers and timers[0].active():
                timers[0].cancel()
                self._try_again_or_finish(True)

        def failed(refused: bool) -> None:
            self._try_again_or_finish(False)

        self._connector.open_connection(opened, failed, closed, _CONNECT_S)

    def _try_again_or_finish(self, accepts: bool) -> None:
        if self._pauses:
            self._call_later(self._pauses.pop(0), self._try)
        else:
            self._finish(accepts)

    def _finish(self, listens: bool) -> None:
        asking, self._asking = self._asking, []
        for done in asking:
            # One that raises keeps no others back.
            self._call_later(0, done, listens)
        if self._waiting:
            self._begin()
