"""What answers say about the request rate that their endpoint accepts."""

import msgspec

__all__ = ["KnownLimit", "LimitNotice", "ReportedNotice", "holding"]


class LimitNotice(msgspec.Struct, frozen=True):
    """The request rate that one answer names, or that it names none.

    Times are in seconds of this process's clock. The endpoint made the answer
    at some moment between them.

    Attributes:
      id: identifies the notice at all entries.
      rate: requests per second from all entries together, None for no limit.
      asked_at: when the request was sent.
      seen_at: when the answer began to arrive.
    """

    id: str
    rate: float | None
    asked_at: float
    seen_at: float

    def to_report(self, now: float) -> "ReportedNotice":
        """Returns the notice as it is sent to another entry."""
        return ReportedNotice(
            self.id,
            self.rate,
            round((now - self.asked_at) * 1000),
            round((now - self.seen_at) * 1000),
        )


class ReportedNotice(msgspec.Struct, frozen=True, array_like=True):
    """A LimitNotice on its way to another entry, whose clock differs.

    Attributes:
      asked_ms: time since the request was sent.
      seen_ms: time since the answer began to arrive.
    """

    id: str
    rate: float | None
    asked_ms: int
    seen_ms: int

    def to_notice(self, now: float) -> LimitNotice:
        """Returns the notice in this process's time."""
        return LimitNotice(
            self.id,
            self.rate,
            now - self.asked_ms / 1000,
            now - self.seen_ms / 1000,
        )


def holding(
    current: LimitNotice | None, other: LimitNotice | None
) -> LimitNotice | None:
    """Returns which of two notices of an endpoint holds.

    A notice is newer if its request was sent after the other answer had
    arrived. Of two that overlap, the lower rate holds: answers overtake each
    other, and one that was made before a limit must not end it.

    A notice that comes back from another entry is the same notice. Its times
    are later by the transit, and taken for a newer answer it would grow newer
    with each exchange and could never be ended.
    """
    if current is None or other is None or current.id == other.id:
        return current or other
    if other.asked_at >= current.seen_at:
        return other
    if current.asked_at >= other.seen_at:
        return current
    return other if _rate(other) < _rate(current) else current


class KnownLimit:
    """The limit of one endpoint, by all that is known of its answers.

    Attributes:
      notice: the notice that holds, None if no answer has named a limit.
    """

    def __init__(self):
        self.notice: LimitNotice | None = None

    @property
    def rate(self) -> float | None:
        """The requests per second from all entries, None for no limit."""
        return self.notice.rate if self.notice is not None else None

    def record(self, notice: LimitNotice) -> bool:
        """Records a notice of an answer or of another entry.

        An answer that names no limit matters only after one that named one.

        Returns:
          whether the rate has changed.
        """
        before = self.rate
        if self.notice is None and notice.rate is None:
            return False
        self.notice = holding(self.notice, notice)
        return self.rate != before

    def report(self, now: float) -> ReportedNotice | None:
        """Returns the notice that holds as it is sent to another entry."""
        return self.notice.to_report(now) if self.notice is not None else None


def _rate(notice: LimitNotice) -> float:
    return float("inf") if notice.rate is None else notice.rate
