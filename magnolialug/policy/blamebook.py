"""How many endpoints have ended under the same request, and what follows."""

import enum
from collections import OrderedDict

import msgspec

from magnolialug.ids import EndpointId, RequestDigest

__all__ = ["BlameBook", "Verdict"]

# What the end of an endpoint tells of a request that it had. A run that had
# not answered anything may be what ended it; one that had was past its begin,
# and is more likely a bystander: of thirty streams that broke off with an
# engine, one was the cause.
_UNANSWERED = 2
_ANSWERED = 1
# Two endpoints that end under the same request, one after the other, are no
# chance, but for a fault that takes down many at once. So the request waits
# until such a fault is over; a third end settles it. Each end costs callers an
# endpoint for seconds and all that is under way there.
_HELD_AT = 2 * _UNANSWERED
_BARRED_AT = 3 * _UNANSWERED
# Endpoints do not end so seldom that two ends further apart than this say
# anything of a request that happened to be there.
_FORGET_S = 600.0
# An endpoint of 128 requests can end each second for a minute and a half.
_MOST_REQUESTS = 10_000


class Verdict(enum.Enum):
    """What may become of a request.

    FREE: it is served like any other.
    HELD: it goes to no endpoint for a while.
    BARRED: it goes to no endpoint any more.
    """

    FREE = "free"
    HELD = "held"
    BARRED = "barred"


class _Blamed(msgspec.Struct):
    newest: float
    ends: dict[EndpointId, int] = {}


class BlameBook:
    """Counts ends of endpoints by request, over all entries that tell."""

    def __init__(self) -> None:
        self._rows: OrderedDict[RequestDigest, _Blamed] = OrderedDict()

    def ended(
        self,
        digest: RequestDigest,
        endpoint: EndpointId,
        answered: bool,
        now: float,
    ) -> Verdict:
        """Learns that an endpoint has ended while it had a request.

        Args:
          answered: whether part of the answer had come.
        """
        row = self._rows.get(digest)
        if row is None or now - row.newest > _FORGET_S:
            row = self._rows[digest] = _Blamed(now)
        row.newest = now
        self._rows.move_to_end(digest)
        if len(self._rows) > _MOST_REQUESTS:
            self._rows.popitem(last=False)
        points = _ANSWERED if answered else _UNANSWERED
        row.ends[endpoint] = max(points, row.ends.get(endpoint, 0))
        return _verdict(sum(row.ends.values()))

    def survived(self, digest: RequestDigest) -> None:
        """Learns that an endpoint has answered a request in full."""
        self._rows.pop(digest, None)

    def ends(self, digest: RequestDigest) -> tuple[EndpointId, ...]:
        """Returns the endpoints that have ended under a request."""
        row = self._rows.get(digest)
        return tuple(row.ends) if row else ()


def _verdict(points: int) -> Verdict:
    if points >= _BARRED_AT:
        return Verdict.BARRED
    return Verdict.HELD if points >= _HELD_AT else Verdict.FREE
