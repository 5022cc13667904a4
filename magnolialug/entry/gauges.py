"""Gauges of the gateway, evaluated whenever metrics are read."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from statistics import median

from magnolialug.entry.directory import Directory
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.guard import Guard
from magnolialug.owners.wiring import Ownership
from magnolialug.prefixcache.wiring import PrefixCache
from magnolialug.supervisedtask import SupervisedTask

__all__ = ["observe_endpoints", "observe_states", "observe_tasks"]

Rows = list[tuple[float, dict]]


def observe_states(
    metrics: GatewayMetrics, states: dict[str, Callable[[], float]]
) -> None:
    """Registers a gauge without labels for each named value."""
    for name, value in states.items():
        metrics.observe(name, lambda value=value: [(value(), {})])


def observe_tasks(
    metrics: GatewayMetrics,
    tasks: Callable[[], Iterable[SupervisedTask]],
    guards: Callable[[], Iterable[Guard]],
) -> None:
    """Registers the gauges of failed tasks and of failed calls.

    Args:
      tasks: returns the long-lived tasks.
      guards: returns what calls others in their stead.
    """

    def failures() -> Rows:
        count: Counter[str] = Counter()
        for task in tasks():
            count[task.name] += task.failures
        for guard in guards():
            count.update(guard.failures)
        return [(number, {"task": name}) for name, number in count.items()]

    def down() -> Rows:
        return [(int(task.is_down), {"task": task.name}) for task in tasks()]

    metrics.observe("task_failures", failures)
    metrics.observe("task_down", down)


def observe_endpoints(
    metrics: GatewayMetrics,
    directory: Directory,
    owners: Ownership,
    parts: PrefixCache,
    retries_left: Callable[[str], float],
    clock: Callable[[], float],
) -> None:
    """Registers the gauges of endpoints, services and stores.

    Args:
      retries_left: returns how many retries a service has left.
      clock: returns the time in seconds.
    """

    def ages() -> Iterator[tuple[float, dict]]:
        for name, poll in parts.store_pollers.indexed():
            if poll.index.epoch:
                yield clock() - poll.index.last_contact_at, {"store": name}

    def retries() -> Rows:
        return [
            (retries_left(name), {"service": name})
            for name in directory.services
        ]

    def paces() -> Rows:
        rates = defaultdict(list)
        for peer in directory.peers.values():
            if peer.load is not None and peer.load.pace is not None:
                rates[peer.listed.service].append(peer.load.measured_rate)
        return [
            (choose(rows), {"service": service, "which": which})
            for service, rows in rates.items()
            for which, choose in (("slowest", min), ("median", median))
        ]

    metrics.observe("engine_pace", paces)
    metrics.observe("endpoints", directory.states)
    metrics.observe("endpoint_connections", directory.connections)
    metrics.observe("retries_left", retries)
    metrics.observe("store_word_age_seconds", lambda: list(ages()))
    metrics.observe("waiting", lambda: [(owners.admission_client.waiting, {})])
    metrics.observe("listed", lambda: [(owners.admission_queues.waiting, {})])
