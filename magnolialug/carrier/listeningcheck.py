"""Determines whether an endpoint still listens."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.interfaces import IDelayedCall

from magnolialug.carrier.connection import Connection

__all__ = ["Connector", "check_listening"]

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


def check_listening(
    connector: Connector,
    call_later: Callable[..., IDelayedCall],
    stays_open_s: float,
    done: Callable[[bool], None],
) -> None:
    """Makes a connection, which the next request can use.

    The kernel closes the listener of a process that ends, however it ends, and
    then refuses connections. An endpoint that has too many accepts further ones
    and closes them at once; a process that ends may, for a moment: it closes
    its files one after another, in any order, and can be preempted in between.

    Args:
      stays_open_s: how long the connection must stay open.
      done: called with whether the endpoint listens.
    """
    pauses = list(_RETRY_PAUSES_S)

    def connect() -> None:
        timers: list[IDelayedCall] = []

        def opened(conn: Connection) -> None:
            timers.append(call_later(stays_open_s, stayed_open, conn))

        def stayed_open(conn: Connection) -> None:
            connector.keep(conn)
            done(True)

        def closed(conn: Connection) -> None:
            if timers and timers[0].active():
                timers[0].cancel()
                try_again_or_finish(True)

        def failed(refused: bool) -> None:
            try_again_or_finish(False)

        connector.open_connection(opened, failed, closed, _CONNECT_S)

    def try_again_or_finish(accepts: bool) -> None:
        if pauses:
            call_later(pauses.pop(0), connect)
        else:
            done(accepts)

    connect()
