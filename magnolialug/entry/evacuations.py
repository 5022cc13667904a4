"""The availability zones that the operator has evacuated."""

from collections.abc import Callable, Collection, Sequence

from magnolialug.events import Event, emit, explain
from magnolialug.ids import ZoneId
from magnolialug.platform.kv import KvEntry
from magnolialug.platform.operator import EVACUATION_PREFIX, read_evacuation
from magnolialug.result import Failure
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["Evacuations"]


class Evacuations(WatchSubscriber):
    """Keeps the set of evacuated zones.

    While the key-value service is away the last known set stays in force. A
    snapshot replaces it, so an order that was taken back meanwhile ends.

    Args:
      zones: the names of the zones that exist.
      on_change: receives the evacuated zones whenever they change.
    """

    def __init__(
        self,
        zones: Collection[str],
        on_change: Callable[[frozenset[ZoneId]], None],
    ):
        self.zones: frozenset[ZoneId] = frozenset()
        self._known_zones = zones
        self._on_change = on_change

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Takes all orders as they are now."""
        found = [self._read(entry) for entry in entries]
        self._set(frozenset(zone for zone in found if zone is not None))

    def changed(self, entry: KvEntry) -> None:
        """Takes one order, or that it has been taken back."""
        if entry.value is None:
            zone = ZoneId(entry.key.removeprefix(EVACUATION_PREFIX))
            self._set(self.zones - {zone})
            return
        zone = self._read(entry)
        if zone is not None:
            self._set(self.zones | {zone})

    def _read(self, entry: KvEntry) -> ZoneId | None:
        zone = read_evacuation(entry.key, entry.value, self._known_zones)
        if isinstance(zone, Failure):
            emit(Event.EVACUATION_REFUSED, key=entry.key, **explain(zone))
            return None
        return zone

    def _set(self, zones: frozenset[ZoneId]) -> None:
        before, self.zones = self.zones, zones
        for zone in zones - before:
            emit(Event.ZONE_EVACUATED, zone=zone)
        for zone in before - zones:
            emit(Event.ZONE_RETURNED, zone=zone)
        if zones != before:
            self._on_change(zones)
