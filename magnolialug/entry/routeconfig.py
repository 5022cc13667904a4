"""The operator's current routes and the weights that it has named."""

from collections.abc import Callable, Sequence

from magnolialug.config.routing import Routing
from magnolialug.events import Event, emit, explain
from magnolialug.platform.kv import KvEntry
from magnolialug.platform.operator import (
    CONFIG_KEY,
    WEIGHTS_PREFIX,
    read_routing,
    read_weights,
)
from magnolialug.policy.routes import RouteTable
from magnolialug.result import Failure
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["RouteConfig"]


class RouteConfig(WatchSubscriber):
    """Applies only whole configurations with a higher version.

    Reads can be stale and notifications late, and applying one would restore a
    removed key or route. So a configuration is applied only if its version is
    higher than the current one.

    Attributes:
      table: the current routes, None before the first configuration.
      weights: the newest version that the operator has named, by model.
    """

    def __init__(self, on_routes: Callable[[Routing], None]):
        self.table: RouteTable | None = None
        self.weights: dict[str, int] = {}
        self._on_routes = on_routes

    @property
    def version(self) -> int:
        """The version of the current configuration, 0 before the first."""
        return self.table.routing.version if self.table else 0

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Applies all keys that the operator has written."""
        for entry in entries:
            self.changed(entry)

    def changed(self, entry: KvEntry) -> None:
        """Applies one written key; removals are ignored."""
        if entry.value is None:
            return
        if entry.key == CONFIG_KEY:
            self._configure(entry.value)
        elif entry.key.startswith(WEIGHTS_PREFIX):
            self._name_weights(entry.key, entry.value)

    def _configure(self, value: bytes) -> None:
        read = read_routing(value)
        if isinstance(read, Failure):
            emit(Event.CONFIG_REFUSED, kept=self.version, **explain(read))
            return
        routing, problems = read
        if routing.version <= self.version:
            return
        for problem in problems:
            emit(
                Event.CONFIG_REFUSED,
                version=routing.version,
                field=problem.field,
                **explain(problem),
            )
        self.table = RouteTable(routing)
        emit(
            Event.CONFIG_IN_FORCE,
            version=routing.version,
            routes=len(routing.routes),
            teams=len(routing.teams),
        )
        self._on_routes(routing)

    def _name_weights(self, key: str, value: bytes) -> None:
        named = read_weights(key, value)
        if isinstance(named, Failure):
            emit(Event.CONFIG_REFUSED, key=key, **explain(named))
            return
        if named.version <= self.weights.get(named.model, 0):
            return
        self.weights[named.model] = named.version
        emit(Event.WEIGHTS_NAMED, model=named.model, version=named.version)
