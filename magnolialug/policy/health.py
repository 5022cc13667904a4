"""What an endpoint's own answers tell about its health."""

import msgspec

__all__ = ["Health"]

# First pause after a failed connection or a lost answer, doubled with each
# further one. A heartbeat takes 1.2 s, so a dead endpoint gets two or
# three requests before the registry drops it.
_FIRST_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 4.0
# Weight of the newest answer in the share of failed ones: about the last
# ten answers count.
_NEWEST = 0.1
# An endpoint that fails more than this share is used as seldom as one that does
# not answer. Some requests fail at healthy endpoints too.
_BAD_SHARE = 0.35


class Health(msgspec.Struct):
    """A circuit breaker fed by the requests themselves.

    Health checks cost calls, and an endpoint can pass them while it fails
    what it is asked; so only what callers' requests meet counts.

    Attributes:
      streak: failures in a row that say that it does not work at all.
      paused_until: no request goes to it before then, if others can take it.
      failing: the share of answers, newest first, that were failures.
      probing: whether a request is under way that decides on its return.
    """

    streak: int = 0
    paused_until: float = 0.0
    failing: float = 0.0
    probing: bool = False

    def broke(self, now: float) -> None:
        """Counts a connection refused, an answer lost or nonsense."""
        self.probing = False
        if now < self.paused_until:
            return
        pause = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**self.streak)
        self.streak += 1
        self.paused_until = now + pause

    def answered(self, good: bool) -> None:
        """Counts a whole answer; good if it was not the endpoint's failure."""
        self.probing = False
        self.streak = 0
        self.failing += _NEWEST * ((0.0 if good else 1.0) - self.failing)

    def usable(self, now: float) -> bool:
        """Whether a request may go to it while others can take it too."""
        if now < self.paused_until:
            return False
        return not (self.streak and self.probing)

    @property
    def penalty(self) -> float:
        """The factor by which its answers cost more than a sound one's.

        An answer that fails has to be made again elsewhere, so an endpoint
        that fails a share s costs 1 / (1 - s) tries for each good answer.
        """
        share = min(0.9, self.failing)
        return (1.0 if share <= _BAD_SHARE else 4.0) / (1.0 - share)
