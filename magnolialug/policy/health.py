"""Health of an endpoint, judged by the outcomes of its requests."""

import msgspec

__all__ = ["Health"]

# First pause after a failed connection or a lost response, doubled with each
# further one. The heartbeat interval is 1.2 s, so a dead endpoint gets two or
# three requests before the registry drops it.
_FIRST_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 4.0
# Weight of the newest response in the share of failed ones: about the last ten
# responses count.
_FAILURE_SMOOTHING = 0.1
# Above this share of failures an endpoint gets an additional penalty, so that
# it is used as rarely as one that does not respond. Some requests fail at
# healthy endpoints too.
_BAD_SHARE = 0.35


class Health(msgspec.Struct):
    """A circuit breaker driven by the outcomes of callers' requests.

    Health checks cost calls, and an endpoint can pass them while it fails real
    requests. So only the outcomes of callers' requests count.

    Attributes:
      streak: consecutive failures that show that it does not work at all.
      paused_until: no request goes to it before then, if others can take it.
      failing: moving average of the share of failed responses.
      probing: whether the request is in progress whose outcome ends the pause
        or extends it.
    """

    streak: int = 0
    paused_until: float = 0.0
    failing: float = 0.0
    probing: bool = False

    def record_failure(self, now: float) -> None:
        """Records a refused connection, or a lost or malformed response."""
        self.probing = False
        if now < self.paused_until:
            return
        pause = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**self.streak)
        self.streak += 1
        self.paused_until = now + pause

    def suspect(self) -> None:
        """Lets one request at a time show whether it works."""
        self.streak = max(1, self.streak)

    def record_answer(self, good: bool) -> None:
        """Records a complete response; good unless the endpoint failed."""
        self.probing = False
        self.streak = 0
        self.failing += _FAILURE_SMOOTHING * (
            (0.0 if good else 1.0) - self.failing
        )

    def usable(self, now: float) -> bool:
        """Whether a request may go to it when others could take it too."""
        if now < self.paused_until:
            return False
        return not (self.streak and self.probing)

    @property
    def penalty(self) -> float:
        """The factor by which its cost exceeds that of a healthy endpoint.

        A request that fails is run again elsewhere. So an endpoint that fails a
        share s of its requests costs 1 / (1 - s) attempts per good response.
        """
        share = min(0.9, self.failing)
        return (1.0 if share <= _BAD_SHARE else 4.0) / (1.0 - share)
