"""Requests that endpoints have lately answered in full."""

from collections import OrderedDict

from magnolialug.ids import RequestDigest

__all__ = ["Answered"]

# About three minutes of an entry's requests; 0.6 MB.
_KEPT = 4096
# One fault takes down what it does within this time.
_FAULT_S = 1.0


class Answered:
    """Speaks for requests that many callers send alike.

    Two reads of the same path are the same request. When all endpoints of a
    service lose power, a few of such reads are under way at each of them, and
    would be blamed for all the ends. A request that was answered just before
    is not what ends endpoints.
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[RequestDigest, float] = OrderedDict()

    def add(self, digest: RequestDigest) -> None:
        """Learns that a request was answered in full."""
        self._kept[digest] = float("inf")
        self._kept.move_to_end(digest)
        if len(self._kept) > _KEPT:
            self._kept.popitem(last=False)

    def clears(self, digest: RequestDigest, now: float) -> bool:
        """Returns whether a request is cleared of an endpoint's end.

        What was answered once may end endpoints later, with other weights or
        after a release; so an answer clears it of one fault.
        """
        until = self._kept.get(digest, 0.0)
        if now >= until:
            self._kept.pop(digest, None)
            return False
        self._kept[digest] = min(until, now + _FAULT_S)
        return True
