"""Rest periods that an endpoint asks for when it refuses a request."""

__all__ = ["RestPeriod", "ReturnSpread"]

# Time between the first requests of two entries after a rest period, and the
# longest time until the last one's. Entries that were refused together would
# otherwise return together.
_STAGGER_S = 0.05
_MAX_STAGGER_S = 1.0
# A first request that has not been refused within this time counts as accepted.
# Whether the endpoint answers at all is judged by its health.
_TRIAL_S = 1.0
# Retry-After while a first request is on its way.
_TRIAL_RETRY_S = 0.1
# An end that moves by less is not reported as a new one. Requests that were on
# their way are refused shortly after the first one.
_SAME_END_S = 0.5
# Callers that were refused in a rest period return within this time after it.
_RETURN_SPREAD_S = 1.0
_GOLDEN_RATIO = 0.6180339887498949


class RestPeriod:
    """Whether this entry may send to an endpoint that has asked for a rest.

    After the end of the rest a single request goes to the endpoint, and others
    once it is accepted. Otherwise all requests that the endpoint could not take
    would return at the same moment.

    Attributes:
      until: the latest end of all the periods that the endpoint has named.
    """

    def __init__(self):
        self.until = float("-inf")
        self._is_open = True
        self._stagger_s = 0.0
        self._trial_at: float | None = None
        self._reported_until: float | None = None

    def stagger(self, entries: int, phase: float) -> None:
        """Sets how long after the end of a rest this entry returns.

        Args:
          entries: how many entries may have been asked for a rest.
          phase: this entry's position among them, from 0 to below 1.
        """
        spread_s = min(_MAX_STAGGER_S, entries * _STAGGER_S)
        self._stagger_s = phase * spread_s

    def record(self, rest_s: float, now: float) -> bool:
        """Records that the endpoint wants no requests for some time.

        Returns:
          whether a rest begins, or lasts noticeably longer than was known.
        """
        if rest_s <= 0:
            return False
        self.until = max(self.until, now + rest_s)
        self._close()
        before = self._reported_until
        if before is not None and self.until < before + _SAME_END_S:
            return False
        self._reported_until = self.until
        return True

    def record_refusal(self, pause_s: float, now: float) -> None:
        """Records a refusal.

        If it is that of the first request after a rest and names no time, the
        next one follows after a pause.
        """
        if self._trial_at is not None:
            self.until = max(self.until, now + pause_s)
            self._close()

    def record_accepted(self, sent_at: float) -> None:
        """Records that the endpoint has run a request.

        A request that was sent before the end of the rest tells nothing.
        """
        if self._trial_at is not None and sent_at >= self._trial_at:
            self._open()

    def record_sent(self, now: float) -> None:
        """Records a request that is sent."""
        if self._is_open:
            return
        if self._trial_at is not None and now >= self._trial_at + _TRIAL_S:
            self._open()
        else:
            self._trial_at = now

    def is_resting(self, now: float) -> bool:
        """Whether the endpoint wants no requests from this entry."""
        return now < self.until

    def may_send(self, now: float) -> bool:
        """Whether this entry may send a request now."""
        if self._is_open:
            return True
        if self._trial_at is not None:
            return now >= self._trial_at + _TRIAL_S
        return now >= self.until + self._stagger_s

    def wait_s(self, now: float) -> float:
        """Returns the time until this entry may send a request."""
        if self.may_send(now):
            return 0.0
        if self._trial_at is not None:
            return _TRIAL_RETRY_S
        return self.until + self._stagger_s - now

    def take_end(self, now: float) -> bool:
        """Returns whether a reported rest has ended, once for each."""
        if self._reported_until is None or self.is_resting(now):
            return False
        self._reported_until = None
        return True

    def _close(self) -> None:
        self._is_open = False
        self._trial_at = None

    def _open(self) -> None:
        self._is_open = True
        self._trial_at = None


class ReturnSpread:
    """Spreads the returns of callers that are refused in rest periods.

    Whatever their number, steps by the golden ratio keep them about equally far
    apart.
    """

    def __init__(self):
        self._position = 0.0

    def after_s(self, wait_s: float) -> float:
        """Returns the time after which the next caller may return.

        Args:
          wait_s: time until the first endpoint may get a request.
        """
        offset_s = self._position * _RETURN_SPREAD_S
        self._position = (self._position + _GOLDEN_RATIO) % 1.0
        return wait_s + offset_s
