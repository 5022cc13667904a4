"""Rollout plan: which engines load new weights next."""

from collections.abc import Sequence

import msgspec

from magnolialug.ids import EndpointId
from magnolialug.jsoninput import Count

__all__ = ["Engine", "Rollout", "next_numbered", "max_concurrent_loads", "plan"]

# Loading slows down when more than about 3/8 of a service's engines load at the
# same time.
_MAX_LOADING_SHARE = 0.375
_MIN_LOADING_LIMIT = 2


class Engine(msgspec.Struct, frozen=True):
    """An engine of the service that is to take a version.

    Attributes:
      running: attempts in progress there, as far as this process knows.
      current: whether it has the version.
      closed: whether it gets no new work, because it loads or soon will.
      failing: whether it does not answer.
      version: the version that it has, as far as is known.
      barred: whether it must not receive a rollout command yet.
      loading: whether it is loading another version at the moment.
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
    """State of a rollout, announced to all entries before commands are sent.

    Attributes:
      closed: engines that get no new work, because they load or soon will.
      taken: engines that have the version.
      number: sequence number of the announcement, over all leaders.
    """

    model: str
    version: Count
    closed: tuple[str, ...] = ()
    taken: tuple[str, ...] = ()
    number: Count = 0


def max_concurrent_loads(engines: int) -> int:
    """Returns how many engines of a service may load at the same time."""
    return max(_MIN_LOADING_LIMIT, int(engines * _MAX_LOADING_SHARE))


def plan(
    model: str,
    version: int,
    engines: Sequence[Engine],
    previous: Rollout | None,
) -> Rollout:
    """Returns the rollout with the engines to be closed now.

    Engines with the oldest weights go first, because responses from weights
    that were replaced long ago are worth the least. So if a second version is
    named in the middle of a rollout, the engines that the first one has not
    reached go first. An engine that must not receive a command yet stays open.
    A closed engine stays closed until it has the version. If it does not
    answer, it keeps its place only while no other engine waits for it, so that
    a dead engine does not block the rest. An engine that loads another version
    stays closed until it has that version, and then waits again.

    Args:
      previous: the last announced rollout; returned if nothing changes.
    """
    outdated = [engine for engine in engines if not engine.current]
    loading = [e for e in outdated if e.loading]
    loading += [
        e for e in outdated if e.closed and not e.failing and not e.loading
    ]
    waiting = [
        e
        for e in outdated
        if (e.failing or not e.closed) and not (e.barred or e.loading)
    ]
    waiting.sort(key=lambda e: (e.failing, e.version, e.running, e.endpoint))
    free = max_concurrent_loads(len(engines)) - len(loading)
    closed = loading + waiting[: max(0, free)]
    rollout = Rollout(
        model=model,
        version=version,
        closed=tuple(sorted(e.endpoint for e in closed)),
        taken=tuple(sorted(e.endpoint for e in engines if e.current)),
        number=previous.number if previous else 0,
    )
    return rollout if rollout == previous else next_numbered(rollout, previous)


def next_numbered(rollout: Rollout, previous: Rollout | None) -> Rollout:
    """Returns a rollout with the number that follows the previous one."""
    number = previous.number + 1 if previous else 1
    return msgspec.structs.replace(rollout, number=number)
