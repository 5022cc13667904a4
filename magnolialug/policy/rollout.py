"""Which engines take new weights next."""

from collections.abc import Sequence

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["Engine", "Rollout", "after", "at_once", "plan"]

# Loading slows down when more than about three eighths of a service's engines
# load at the same time.
_AT_ONCE_SHARE = 0.375
_AT_ONCE_LEAST = 2


class Engine(msgspec.Struct, frozen=True):
    """An engine of the service that is to take a version.

    Attributes:
      running: attempts under way there, as far as this process knows.
      current: whether it has the version.
      closed: whether it gets no new work, since it loads or soon will.
      failing: whether it does not answer.
      version: that it has, as far as is known.
      barred: whether it may not be ordered yet.
      loading: whether it loads another version just now.
    """

    endpoint: EndpointId
    running: int
    current: bool
    closed: bool
    failing: bool
    version: int = 0
    barred: bool = False
    loading: bool = False


class Rollout(msgspec.Struct, frozen=True):
    """What is about to be ordered, told to all entries beforehand.

    Attributes:
      closed: engines that get no new work, since they load or soon will.
      taken: engines that have the version.
      number: counts what was told, over all holders.
    """

    model: str
    version: int
    closed: tuple[str, ...] = ()
    taken: tuple[str, ...] = ()
    number: int = 0


def at_once(engines: int) -> int:
    """Returns how many engines of a service may load at the same time."""
    return max(_AT_ONCE_LEAST, int(engines * _AT_ONCE_SHARE))


def plan(
    model: str, version: int, engines: Sequence[Engine], told: Rollout | None
) -> Rollout:
    """Returns the engines to be closed now, the oldest weights first.

    Answers made on weights that were replaced long ago are worth the least,
    so when a second version is named in the middle of a rollout the engines
    that the first one has not reached go first. An engine that may not be
    ordered yet stays open. A closed one stays closed until it has the
    version; if it does not answer it keeps its place only while no other
    waits for it, so that a dead engine does not hold up the rest. One that
    loads another version stays closed until it has that, and waits again.

    Args:
      told: what was told last; it is returned when nothing changes.
    """
    outdated = [engine for engine in engines if not engine.current]
    loading = [e for e in outdated if e.loading]
    loading += [
        e for e in outdated if e.closed and not e.failing and not e.loading
    ]
    waiting = [e for e in outdated if not (e.closed or e.barred or e.loading)]
    waiting.sort(key=lambda e: (e.failing, e.version, e.running, e.endpoint))
    free = at_once(len(engines)) - len(loading)
    closed = loading + waiting[: max(0, free)]
    rollout = Rollout(
        model=model,
        version=version,
        closed=tuple(sorted(e.endpoint for e in closed)),
        taken=tuple(sorted(e.endpoint for e in engines if e.current)),
        number=told.number if told else 0,
    )
    return rollout if rollout == told else after(rollout, told)


def after(rollout: Rollout, told: Rollout | None) -> Rollout:
    """Returns a rollout numbered as the one that follows another."""
    number = told.number + 1 if told else 1
    return msgspec.structs.replace(rollout, number=number)
