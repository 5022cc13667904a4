"""Recently completed requests, which are ruled out as causes of crashes."""

from collections import OrderedDict

from magnolialug.ids import RequestDigest

__all__ = ["RecentAnswers"]

# Requests that are remembered: about three minutes of an entry's requests,
# 0.6 MB.
_MAX_REQUESTS = 4096
# Crashes that one fault causes happen within this time.
_FAULT_WINDOW_S = 1.0


class RecentAnswers:
    """Remembers requests that were completed, by digest.

    Two reads of the same path have the same digest. When all endpoints of a
    service lose power, a few such reads are in progress at each of them, and
    would be counted as the cause of all the crashes. A request that was
    answered in full just before is not what crashes endpoints.
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[RequestDigest, float] = OrderedDict()

    def add(self, digest: RequestDigest) -> None:
        """Records that a request was answered in full."""
        self._kept[digest] = float("inf")
        self._kept.move_to_end(digest)
        if len(self._kept) > _MAX_REQUESTS:
            self._kept.popitem(last=False)

    def rules_out(self, digest: RequestDigest, now: float) -> bool:
        """Returns whether a request is ruled out as the cause of a crash.

        A request that was completed once may crash endpoints later, with other
        weights or after a release. So a completion rules it out for one fault
        only: for the crashes within _FAULT_WINDOW_S of the first.
        """
        until = self._kept.get(digest, 0.0)
        if now >= until:
            self._kept.pop(digest, None)
            return False
        self._kept[digest] = min(until, now + _FAULT_WINDOW_S)
        return True
