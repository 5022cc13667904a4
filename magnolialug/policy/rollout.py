"""Which engines take new weights next."""

from collections.abc import Iterable

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["Engine", "at_once", "due"]

# Loading slows down when more than about three eighths of a service's
# engines load at the same time: over 2 of 6, 7 of 20, 9 of 24.
_AT_ONCE_SHARE = 0.375
_AT_ONCE_LEAST = 2
# An order that shows no effect for this long is given again. Loading takes
# 1.3 s after the runs have finished, and runs take a second or two.
_ORDER_AGAIN_S = 5.0


class Engine(msgspec.Struct, frozen=True):
    """An engine that has older weights than were named.

    Attributes:
      running: attempts under way there, as far as this process knows.
      ordered_at: when it accepted the order or may have, None if not.
      paused: whether it does not answer at the moment.
    """

    endpoint: EndpointId
    running: int
    ordered_at: float | None
    paused: bool


def at_once(engines: int) -> int:
    """Returns how many engines of a service may load at the same time."""
    return max(_AT_ONCE_LEAST, int(engines * _AT_ONCE_SHARE))


def due(
    outdated: Iterable[Engine], engines: int, now: float
) -> list[EndpointId]:
    """Returns the engines to be ordered now, the least busy first.

    Args:
      outdated: the engines whose weights are older than named.
      engines: how many the service has in all.
    """
    outdated = list(outdated)
    loading = [
        engine
        for engine in outdated
        if engine.ordered_at is not None
        and now - engine.ordered_at < _ORDER_AGAIN_S
    ]
    free = at_once(engines) - len(loading)
    waiting = [
        engine
        for engine in outdated
        if engine not in loading and not engine.paused
    ]
    waiting.sort(key=lambda engine: (engine.running, engine.endpoint))
    return [engine.endpoint for engine in waiting[: max(0, free)]]
