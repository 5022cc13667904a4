"""How many endpoints have crashed under the same request."""

import enum
from collections import OrderedDict

import msgspec

from magnolialug.ids import EndpointId, RequestDigest

__all__ = ["CrashCounter", "Term"]

# A request that had no answer yet may have caused the crash. One that was being
# answered is more likely a bystander: an engine runs dozens at once.
_UNANSWERED = 2
_ANSWERED = 1
# Two crashes under one request are rarely chance, except in a fault that takes
# down many endpoints; a temporary quarantine outlasts it. The third crash
# settles the matter.
_TEMPORARY_AT = 2 * _UNANSWERED
_PERMANENT_AT = 3 * _UNANSWERED
# Crashes further apart say nothing about a request that was there by chance.
_FORGET_S = 600.0
# Bounds the memory.
_MOST_REQUESTS = 10_000


class Term(enum.Enum):
    """Whether a request is kept from endpoints, and for how long."""

    NONE = "none"
    TEMPORARY = "temporary"
    PERMANENT = "permanent"


class _Crashes(msgspec.Struct):
    newest: float
    ends: dict[EndpointId, int] = {}


class CrashCounter:
    """Counts crashes by request, as reported by all entries."""

    def __init__(self) -> None:
        self._rows: OrderedDict[RequestDigest, _Crashes] = OrderedDict()

    def record_crash(
        self,
        digest: RequestDigest,
        endpoint: EndpointId,
        answered: bool,
        now: float,
    ) -> Term:
        """Counts a crash of an endpoint that had a request.

        Args:
          answered: whether part of the answer had come.
        """
        row = self._rows.get(digest)
        if row is None or now - row.newest > _FORGET_S:
            row = self._rows[digest] = _Crashes(now)
        row.newest = now
        self._rows.move_to_end(digest)
        if len(self._rows) > _MOST_REQUESTS:
            self._rows.popitem(last=False)
        points = _ANSWERED if answered else _UNANSWERED
        row.ends[endpoint] = max(points, row.ends.get(endpoint, 0))
        return _term(sum(row.ends.values()))

    def survived(self, digest: RequestDigest) -> None:
        """Learns that an endpoint has answered a request in full."""
        self._rows.pop(digest, None)

    def endpoints(self, digest: RequestDigest) -> tuple[EndpointId, ...]:
        """Returns the endpoints that have crashed under a request."""
        row = self._rows.get(digest)
        return tuple(row.ends) if row else ()


def _term(points: int) -> Term:
    if points >= _PERMANENT_AT:
        return Term.PERMANENT
    return Term.TEMPORARY if points >= _TEMPORARY_AT else Term.NONE
