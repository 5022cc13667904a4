"""Whether registry entries may have expired during a registry outage."""

__all__ = ["may_have_lapsed"]

# Minimum number of heartbeat intervals between the start of an outage and the
# first entry that expires. An entry expires after three intervals without a
# heartbeat, and its last heartbeat may have come almost one interval before the
# outage.
_MIN_LAPSE_INTERVALS = 2.0


def may_have_lapsed(away_s: float, heartbeat_s: float) -> bool:
    """Returns whether an entry may be missing because of the outage.

    Args:
      away_s: time since the registry last answered, in seconds.
      heartbeat_s: an endpoint's heartbeat interval in seconds.
    """
    return away_s >= _MIN_LAPSE_INTERVALS * heartbeat_s
