"""The request rate that an endpoint has limited, as one entry knows it."""

from magnolialug.policy.limitnotice import LimitNotice, holding

__all__ = ["SendLimit"]


class SendLimit:
    """What an endpoint's answers say about the requests that it accepts.

    Attributes:
      notice: the notice that holds, None if no answer has named a limit.
    """

    def __init__(self):
        self.notice: LimitNotice | None = None

    @property
    def rate(self) -> float | None:
        """The requests per second from all entries, None for no limit."""
        return self.notice.rate if self.notice is not None else None

    def record(self, notice: LimitNotice | None) -> bool:
        """Records a notice of an answer or of another entry.

        An answer that names no limit matters only after one that named one.

        Returns:
          whether the rate has changed.
        """
        before = self.rate
        if self.notice is None and notice is not None and notice.rate is None:
            return False
        self.notice = holding(self.notice, notice)
        return self.rate != before
