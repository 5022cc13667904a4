"""Checks whether the end of an answer is that of its endpoint's process."""

from collections.abc import Callable

from magnolialug.entry.peer import Peer

__all__ = ["EndCheck"]

# Shorter than an endpoint takes to start again. What is read after a longer
# pause may come from an endpoint in whose place another one listens.
_STALE_S = 0.25
# An endpoint registers itself with its first heartbeat, 1.2 s after its start.
_SUCCESSOR_KNOWN_S = 2.0


class EndCheck:
    """Checks an end that only the close of the connection has told.

    The kernel closes the connections of a killed process as if their answers
    were whole, unless something on them is unread. It also closes the listener,
    which tells the two apart, as long as no other endpoint listens there.

    Attributes:
      is_running: whether a check has begun and not ended.
    """

    def __init__(self, peer: Peer, now: float):
        self.is_running = False
        self._peer = peer
        self._swept_at = now
        self._stale_until = now
        self._is_late = False
        self._due_at = float("inf")
        self._done: Callable[[bool], None] = lambda proved: None

    def sweep(self, now: float) -> None:
        """Records that this process runs; makes a check that is due."""
        if self._stood_still(now):
            self._stale_until = now + _STALE_S
        self._swept_at = now
        if self.is_running and now >= self._due_at:
            self._due_at = float("inf")
            self._ask()

    def record_resumed(self, now: float, paused_s: float) -> None:
        """Records that the answer is read again after a pause."""
        if paused_s > _STALE_S:
            self._stale_until = now + _STALE_S

    def start(
        self, now: float, may_repeat: bool, done: Callable[[bool], None]
    ) -> None:
        """Calls `done` with whether the end is proved, unless stopped.

        Args:
          may_repeat: whether the request may be sent to another endpoint. Then
            an end that is read late is not worth a wait.
        """
        self.is_running = True
        self._done = done
        if not self._is_stale(now):
            self._ask()
        elif may_repeat:
            self._report(False)
        else:
            self._is_late = True
            self._due_at = now + _SUCCESSOR_KNOWN_S

    def stop(self) -> None:
        """Ends the check without a result."""
        self.is_running = False

    def _stood_still(self, now: float) -> bool:
        """Whether this process has not run for a while."""
        return now - self._swept_at > _STALE_S

    def _is_stale(self, now: float) -> bool:
        """Whether what is read now may have arrived long ago."""
        return now < self._stale_until or self._stood_still(now)

    def _ask(self) -> None:
        self._peer.pool.check_listening(self._on_checked)

    def _on_checked(self, listens: bool) -> None:
        is_replaced = self._is_late and self._peer.gone
        self._report(listens and not is_replaced)

    def _report(self, proved: bool) -> None:
        if self.is_running:
            self.is_running = False
            self._done(proved)
