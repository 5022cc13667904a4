"""Checks whether the end of an answer is that of its endpoint's process."""

import enum
from collections.abc import Callable

from magnolialug.entry.peer import Peer

__all__ = ["Confirm", "EndCheck", "EndState"]

# Shorter than an endpoint takes to start again. What is read after a longer
# pause may come from an endpoint in whose place another one listens.
_STALE_S = 0.25
# An endpoint registers itself with its first heartbeat, this long after its
# start. The registration may take some time to arrive.
_FIRST_HEARTBEAT_S = 1.2
_SUCCESSOR_KNOWN_S = 2.0
# How long a connection must stay open to tell that its endpoint listens. The
# caller of a stream has all events by then, and loses nothing by a longer time,
# which is certain also where the endpoint's machine is overloaded.
_PLAIN_STAYS_OPEN_S = 0.05
_STREAM_STAYS_OPEN_S = 0.25
# What is left to the caller when a wait for a successor ends.
_SPARE_S = 0.3


Confirm = Callable[[Callable[[bool], None]], None]


class EndState(enum.Enum):
    """What is known of an end that the close of its connection has told.

    PROVED: its endpoint lives on, or had said that it stops.
    KILLED: its endpoint listens no more.
    UNKNOWN: it was read too late, or the registry not at all, to tell.
    """

    PROVED = "proved"
    KILLED = "killed"
    UNKNOWN = "unknown"


class EndCheck:
    """Checks an end that only the close of the connection has told.

    The kernel closes the connections of a killed process as if their answers
    were whole, unless something on them is unread. It also closes the listener,
    which tells the two apart, as long as no other endpoint listens there.

    An endpoint that has said that it stops closes its listener in order, and
    finishes its answers.

    Attributes:
      is_running: whether a check has begun and not ended.

    Args:
      confirm_registry: calls back with whether all successors that had
        registered are known by then.
    """

    def __init__(self, peer: Peer, now: float, confirm_registry: Confirm):
        self.is_running = False
        self._peer = peer
        self._confirm_registry = confirm_registry
        self._sent_at = self._swept_at = now
        self._stood_still_at = float("-inf")
        self._behind_since = now
        self._resumed_at = float("-inf")
        self._is_late = False
        self._due_at = float("inf")
        self._done: Callable[[EndState], None] = lambda state: None

    def sweep(self, now: float) -> None:
        """Records that this process runs; ends a wait that is over."""
        if self._stands_still(now):
            self._stood_still_at = now
        self._swept_at = now
        if self.is_running and now >= self._due_at:
            # Who listened when the wait began has registered by now.
            self._due_at = float("inf")
            self._confirm_registry(self._on_confirmed)

    def record_resumed(self, now: float, paused_s: float) -> None:
        """Records that the answer is read again after a pause.

        Between short pauses an answer's rest may stay unread for long.
        """
        paused_at = now - paused_s
        if paused_at - self._resumed_at > _STALE_S:
            self._behind_since = paused_at
        self._resumed_at = now

    def start(
        self,
        now: float,
        deadline: float,
        is_stream: bool,
        may_repeat: bool,
        done: Callable[[EndState], None],
    ) -> None:
        """Calls `done` with what is known of an end, unless stopped.

        Args:
          deadline: when the answer is of no more use.
          is_stream: whether the caller has had the answer as it came.
          may_repeat: whether the request may be sent to another endpoint. Then
            an end that is read late is not worth a wait.
        """
        self.is_running = True
        self._done = done
        self._is_late = self._was_read_late(now)
        if self._is_in_order(now):
            self._report(EndState.PROVED)
        elif self._is_late and may_repeat:
            self._report(EndState.UNKNOWN)
        else:
            known_at = min(now + _SUCCESSOR_KNOWN_S, deadline - _SPARE_S)
            if self._is_late and known_at - now < _FIRST_HEARTBEAT_S:
                self._report(EndState.UNKNOWN)
                return
            self._peer.pool.check_listening(
                lambda listens: self._on_checked(listens, known_at),
                _STREAM_STAYS_OPEN_S if is_stream else _PLAIN_STAYS_OPEN_S,
            )

    def stop(self) -> None:
        """Ends the check without a result."""
        self.is_running = False

    def _is_in_order(self, now: float) -> bool:
        """Whether the endpoint had said that it stops, and finishes this."""
        peer = self._peer
        if not peer.has_said_leaving:
            return False
        return not peer.may_have_stopped(self._sent_at, now)

    def _stands_still(self, now: float) -> bool:
        """Whether this process has not run for a while."""
        return now - self._swept_at > _STALE_S

    def _was_read_late(self, now: float) -> bool:
        """Whether what is read now may have arrived long ago."""
        if self._stands_still(now) or now - self._stood_still_at < _STALE_S:
            return True
        is_behind = now - self._resumed_at < _STALE_S
        return is_behind and now - self._behind_since > _STALE_S

    def _on_checked(self, listens: bool, known_at: float) -> None:
        if not listens:
            self._report(EndState.KILLED)
        elif self._is_late:
            self._due_at = known_at
        else:
            self._report(EndState.PROVED)

    def _on_confirmed(self, confirmed: bool) -> None:
        if self._peer.gone:
            self._report(EndState.KILLED)
        else:
            state = EndState.PROVED if confirmed else EndState.UNKNOWN
            self._report(state)

    def _report(self, state: EndState) -> None:
        if self.is_running:
            self.is_running = False
            self._done(state)
