"""Counts endpoints that have crashed while serving the same request."""

import enum
from collections import OrderedDict
from collections.abc import Collection

import msgspec

from magnolialug.ids import EndpointId, RequestDigest

__all__ = ["CrashCounter", "QuarantineTerm"]

# A request without an answer yet may have caused the crash. One that was being
# answered is less likely to be the cause: an engine runs dozens at once.
_UNANSWERED_POINTS = 2
_ANSWERED_POINTS = 1
# Two crashes under the same request are rarely a coincidence, except in a fault
# that takes down many endpoints; a temporary quarantine lasts longer than such
# a fault. A third crash makes the quarantine permanent.
_TEMPORARY_AT_POINTS = 2 * _UNANSWERED_POINTS
_PERMANENT_AT_POINTS = 3 * _UNANSWERED_POINTS
# Crashes further apart are no evidence against a request: it may have been in
# progress by coincidence.
_CRASH_WINDOW_S = 600.0
# Bounds memory use.
_MAX_REQUESTS = 10_000


class QuarantineTerm(enum.Enum):
    """Whether a request is quarantined, and for how long."""

    NONE = "none"
    TEMPORARY = "temporary"
    PERMANENT = "permanent"


class _Crashes(msgspec.Struct):
    last_crash_at: float
    points_by_endpoint: dict[EndpointId, int] = {}


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
    ) -> QuarantineTerm:
        """Counts a crash of an endpoint that was serving a request.

        Args:
          answered: whether part of the answer had arrived.

        Returns:
          whether and for how long the request is to be quarantined.
        """
        row = self._rows.get(digest)
        if row is None or now - row.last_crash_at > _CRASH_WINDOW_S:
            row = self._rows[digest] = _Crashes(now)
        row.last_crash_at = now
        self._rows.move_to_end(digest)
        if len(self._rows) > _MAX_REQUESTS:
            self._rows.popitem(last=False)
        points = _ANSWERED_POINTS if answered else _UNANSWERED_POINTS
        row.points_by_endpoint[endpoint] = max(
            points, row.points_by_endpoint.get(endpoint, 0)
        )
        return _quarantine_term(sum(row.points_by_endpoint.values()))

    def record_completion(self, digest: RequestDigest) -> None:
        """Clears a request that an endpoint has answered completely."""
        self._rows.pop(digest, None)

    def discount(self, endpoints: Collection[EndpointId]) -> None:
        """Drops the counts of crashes whose cause has been found."""
        for digest, row in list(self._rows.items()):
            for endpoint in endpoints:
                row.points_by_endpoint.pop(endpoint, None)
            if not row.points_by_endpoint:
                del self._rows[digest]

    def endpoints(self, digest: RequestDigest) -> tuple[EndpointId, ...]:
        """Returns the endpoints that crashed while serving a request."""
        row = self._rows.get(digest)
        return tuple(row.points_by_endpoint) if row else ()


def _quarantine_term(points: int) -> QuarantineTerm:
    if points >= _PERMANENT_AT_POINTS:
        return QuarantineTerm.PERMANENT
    return (
        QuarantineTerm.TEMPORARY
        if points >= _TEMPORARY_AT_POINTS
        else QuarantineTerm.NONE
    )
