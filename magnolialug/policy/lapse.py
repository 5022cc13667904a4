"""When registry entries can have run out because the registry was away."""

__all__ = ["may_have_lapsed"]

# Heartbeat intervals that pass at least between the start of an outage and the
# first entry that runs out. Three without a heartbeat end one, and the last
# heartbeat may have come almost an interval before the outage.
_INTERVALS = 2.0


def may_have_lapsed(away_s: float, heartbeat_s: float) -> bool:
    """Returns whether an entry may be missing for want of the registry.

    Args:
      away_s: time for which the registry was not seen to answer.
      heartbeat_s: time between two heartbeats of an endpoint.
    """
    return away_s >= _INTERVALS * heartbeat_s
