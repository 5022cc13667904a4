"""Scheduling ranks of requests at engines."""

__all__ = ["rank"]

# Endpoints have ten ranks, 0 first.
_LAST_RANK = 9
_ROUTE_RANKS = 3


def rank(team: int | None, route: int) -> int:
    """Returns the rank of a request, 0 first.

    The team's priority takes precedence over the route's. Among requests of
    teams with equal priority the route's priority decides, so that a short
    check does not queue behind its own team's long drafts.

    Args:
      team: the team's priority, None if it has none.
      route: the route's priority.
    """
    first = route if team is None else team
    second = min(route, _ROUTE_RANKS - 1)
    return min(_LAST_RANK, first * _ROUTE_RANKS + second)
