"""Closes connections whose peers are gone, and keeps those of slow ones."""

import contextlib
import socket
from collections.abc import Callable

from twisted.internet.interfaces import IDelayedCall

from magnolialug.carrier.sendstate import SendState, read_send_state
from magnolialug.events import Event, emit
from magnolialug.guard import Guard

__all__ = ["PeerMonitor", "WatchedConnection"]

_CHECK_INTERVAL_S = 0.25
# Far above the time between an end of a response and the reset behind it.
_RESET_DELAY_S = 0.02
# How long sent bytes may stay unacknowledged. Network latency is a few
# milliseconds and a lost packet is sent again after 0.2 s, then 0.4 s, so a
# connection survives two losses in a row.
_SILENCE_MS = 1500
# A peer answers at most two probes a second, so that one without an answer is
# normal. The answer to the second may be on its way.
_SUSPICIOUS_PROBES = 2
_FATAL_PROBES = 3
# The kernel makes three within the time above. The answer to the last may be on
# its way.
_SUSPICIOUS_RETRANSMISSIONS = 3
# The option that bounds the pause between two probes, since Linux 6.15.
_TCP_RTO_MAX_MS = 44
_PROBE_PAUSE_MS = 1000
_NO_TIMEOUT_MS = 0


def limit_probe_pause(sock: socket.socket) -> bool:
    """Bounds the pause between probes; returns whether the kernel can."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, _PROBE_PAUSE_MS)
    except OSError:
        return False
    return True


class WatchedConnection:
    """The outgoing side of one connection.

    The kernel's user time-out ends a connection whose bytes nobody
    acknowledges. It counts the time of a closed window too, although the peer
    answers each probe of it. So it is set while bytes are in flight only.
    Where it is not set, or was set late because the process was, a connection
    is judged by its unanswered probes and retransmissions.
    """

    def __init__(self, monitor: "PeerMonitor", transport):
        self._monitor = monitor
        self._transport = transport
        self._sock = transport.getHandle()
        self._timeout_ms = _NO_TIMEOUT_MS
        self._was_in_flight = False
        # Whether its peer's window has been closed at some time.
        self._has_stalled = False
        self._closed_since: float | None = None
        self._are_probes_bounded = False
        self._is_suspicious = False
        self._on_delivered: Callable[[bool], None] | None = None
        self._delivery_timer: IDelayedCall | None = None

    def record_write(self) -> None:
        """Checks the connection until all has been acknowledged."""
        self._monitor.add(self)

    def await_delivery(self, done: Callable[[bool], None]) -> None:
        """Tells once whether the peer acknowledges all bytes, or resets.

        The first check follows soon, the others at the monitor's interval.

        Args:
          done: called with whether it has acknowledged them. It is not called
            if the connection is forgotten before.
        """
        self._cancel_delivery_check()
        self._on_delivered = done
        self.record_write()
        self._delivery_timer = self._monitor.call_later(
            _RESET_DELAY_S, self._check_delivery
        )

    def leave_to_kernel(self) -> None:
        """Lets a slow peer read on when the process has closed its end."""
        self._set_timeout(_NO_TIMEOUT_MS)

    def stop(self) -> None:
        """Ends the checks; a delivery that is awaited stays unknown."""
        self.leave_to_kernel()
        self._end_checks(False)

    def forget(self) -> None:
        """Ends the checks; the connection is closed."""
        self._cancel_delivery_check()
        self._on_delivered = None
        self._monitor.discard(self)

    def check(self, now: float) -> None:
        """Adjusts the time-out; closes the connection if its peer is gone."""
        if self._delivery_timer is not None:
            return
        state = read_send_state(self._sock)
        if state is None or state.is_reset:
            self._set_timeout(_SILENCE_MS)
            self._end_checks(False)
        elif state.is_delivered:
            self._closed_since = None
            self._was_in_flight = False
            self._set_timeout(_NO_TIMEOUT_MS)
            self._end_checks(True)
        else:
            self._check_undelivered(state, now)

    def _check_delivery(self) -> None:
        """Ends the checks if the state of the connection is final.

        It does not judge a peer that is silent: such judgements compare states
        that are a whole interval apart.
        """
        self._delivery_timer = None
        state = read_send_state(self._sock)
        if state is None or state.is_reset or state.is_delivered:
            self._end_checks(state is not None and state.is_delivered)

    def _cancel_delivery_check(self) -> None:
        timer, self._delivery_timer = self._delivery_timer, None
        if timer is not None:
            timer.cancel()

    def _end_checks(self, delivered: bool) -> None:
        on_delivered = self._on_delivered
        self.forget()
        if on_delivered is not None:
            on_delivered(delivered)

    def _check_undelivered(self, state: SendState, now: float) -> None:
        if state.is_window_closed:
            self._keep_while_closed(now)
        elif self._was_in_flight and not self._has_stalled:
            self._set_timeout(_SILENCE_MS)
        self._was_in_flight = bool(state.in_flight)
        if self._is_peer_gone(state):
            self._close(state)

    def _keep_while_closed(self, now: float) -> None:
        """Keeps a closed window from ending the connection.

        Where the kernel cannot bound the pauses between probes, they double up
        to minutes. A time-out that is always a little ahead bounds them too.
        """
        if self._closed_since is None:
            self._closed_since = now
            self._has_stalled = True
            self._are_probes_bounded = limit_probe_pause(self._sock)
        if self._are_probes_bounded:
            self._set_timeout(_NO_TIMEOUT_MS)
        else:
            closed_ms = int((now - self._closed_since) * 1000)
            self._set_timeout(closed_ms + _SILENCE_MS)

    def _is_peer_gone(self, state: SendState) -> bool:
        if self._has_stalled:
            if state.silent_s * 1000 < _SILENCE_MS:
                self._is_suspicious = False
                return False
            if state.unanswered >= _FATAL_PROBES:
                return True
        was_suspicious = self._is_suspicious
        self._is_suspicious = state.unanswered >= (
            _SUSPICIOUS_PROBES
            if state.is_window_closed
            else _SUSPICIOUS_RETRANSMISSIONS
        )
        return was_suspicious and self._is_suspicious

    def _close(self, state: SendState) -> None:
        emit(
            Event.PEER_GONE,
            peer=str(self._transport.getPeer()),
            silent_s=round(state.silent_s, 3),
            unanswered=state.unanswered,
            unsent=state.unsent,
        )
        self.forget()
        self._transport.abortConnection()

    def _set_timeout(self, timeout_ms: int) -> None:
        if timeout_ms == self._timeout_ms:
            return
        self._timeout_ms = timeout_ms
        # The connection may have been closed since the last event.
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )


class PeerMonitor:
    """Checks connections that have unacknowledged bytes.

    Attributes:
      guard: makes the checks, and counts those that failed.
      call_later: calls a function after a delay in seconds.

    Args:
      clock: returns the time in seconds.
      call_later: calls a function after a delay in seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        call_later: Callable[..., IDelayedCall],
    ):
        self._clock = clock
        self.call_later = call_later
        self.guard = Guard(clock)
        self._watched: set[WatchedConnection] = set()
        self._timer: IDelayedCall | None = None

    def watch(self, transport) -> WatchedConnection:
        """Returns the handle of a connection, for its writes and its end."""
        return WatchedConnection(self, transport)

    def stop(self) -> None:
        """Ends the checks; the kernel delivers what has been written."""
        watched = list(self._watched)
        self._watched.clear()
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
        for conn in watched:
            conn.stop()

    def add(self, conn: WatchedConnection) -> None:
        """Checks a connection from now on."""
        self._watched.add(conn)
        if self._timer is None:
            self._timer = self.call_later(_CHECK_INTERVAL_S, self._check_all)

    def discard(self, conn: WatchedConnection) -> None:
        """Checks a connection no longer."""
        self._watched.discard(conn)

    def _check_all(self) -> None:
        self._timer = None
        now = self._clock()
        for conn in list(self._watched):
            self.guard.call("peer check", conn.check, now)
        if self._watched and self._timer is None:
            self._timer = self.call_later(_CHECK_INTERVAL_S, self._check_all)
