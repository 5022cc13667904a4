"""Election of the entries that watch the key-value service for all."""

from random import Random

import msgspec

__all__ = ["LEASE_S", "SLOTS", "WatcherState", "should_acquire_slot"]

SLOTS = 3
LEASE_S = 9.0
_MIN_HEARTBEAT_TIMEOUT_S = 12.0


class WatcherState(msgspec.Struct):
    """An entry's view of the watchers' heartbeat.

    Attributes:
      heartbeat: the latest heartbeat received, wall-clock seconds of a watcher.
      advanced_at: time on the local monotonic clock when it last advanced.
      timeout_s: time allowed until it advances again, drawn at random each
        time; 0 if no timeout is running.
    """

    heartbeat: float = 0.0
    advanced_at: float = 0.0
    timeout_s: float = 0.0


def should_acquire_slot(
    state: WatcherState, heartbeat: float, now: float, random: Random
) -> bool:
    """Whether to try to acquire a watcher slot.

    If every entry polled the key-value service for changes, its calls would
    grow with the fleet, and a watch counts as a call for as long as it waits.
    So only the holders of SLOTS leases watch, and the others receive the
    watchers' heartbeat through the sidecars. An entry tries to acquire a slot
    only after the heartbeat has stopped, at a random time, so that not all
    entries try at once.
    """
    if heartbeat > state.heartbeat or not state.timeout_s:
        state.heartbeat = max(heartbeat, state.heartbeat)
        state.advanced_at = now
        state.timeout_s = random.uniform(
            _MIN_HEARTBEAT_TIMEOUT_S, 2 * _MIN_HEARTBEAT_TIMEOUT_S
        )
        return False
    if now - state.advanced_at < state.timeout_s:
        return False
    state.timeout_s = 0.0
    return True
