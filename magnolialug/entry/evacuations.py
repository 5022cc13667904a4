"""The availability zones that the operator has evacuated."""

from collections.abc import Callable, Collection, Sequence

from magnolialug.events import Event, emit, explain
from magnolialug.ids import ZoneId
from magnolialug.platform.kv import KvEntry
from magnolialug.platform.operator import EVACUATION_PREFIX, read_evacuation
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.result import Failure
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["Evacuations"]


class Evacuations(WatchSubscriber):
    """Keeps the set of evacuated zones.

    While the key-value service is away the last known set stays in force. A
    snapshot replaces it, so an order that was taken back meanwhile ends. What
    another entry knows as of a later revision goes first until this one has
    read as far: an entry that is cut off would send to endpoints that may have
    turned cold, or are about to stop.

    Attributes:
      known: the evacuated zones in force here.
      known_at: when they changed last, in seconds.

    Args:
      zones: the names of the zones that exist.
      on_change: receives the evacuated zones whenever they change.
      revision: returns how far this entry has read the key-value service.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        zones: Collection[str],
        on_change: Callable[[frozenset[ZoneId]], None],
        revision: Callable[[], int],
        clock: Callable[[], float],
    ):
        self.known = EvacuatedZones()
        self.known_at = float("-inf")
        self._own: frozenset[ZoneId] = frozenset()
        self._heard = EvacuatedZones()
        self._known_zones = zones
        self._on_change = on_change
        self._revision = revision
        self._clock = clock

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Takes all orders as they are now."""
        found = [self._read(entry) for entry in entries]
        self._own = frozenset(zone for zone in found if zone is not None)
        self._heard = EvacuatedZones()
        self._apply()

    def changed(self, entry: KvEntry) -> None:
        """Takes one order, or that it has been taken back."""
        if entry.value is None:
            zone = ZoneId(entry.key.removeprefix(EVACUATION_PREFIX))
            self._own -= {zone}
        elif (zone := self._read(entry)) is not None:
            self._own |= {zone}
        # One by one: endpoints of a zone that was evacuated and taken back
        # between two watches have turned cold all the same.
        self._apply()

    def settled(self) -> None:
        """Learns that all changes that came together have been told."""
        self._apply()

    def hear(self, evacuated: EvacuatedZones) -> None:
        """Takes evacuated zones that another entry knows."""
        if evacuated.revision > self._heard.revision:
            self._heard = evacuated
            self._apply()

    def _read(self, entry: KvEntry) -> ZoneId | None:
        zone = read_evacuation(entry.key, entry.value, self._known_zones)
        if isinstance(zone, Failure):
            emit(Event.EVACUATION_REFUSED, key=entry.key, **explain(zone))
            return None
        return zone

    def _apply(self) -> None:
        """Puts the set of the latest revision in force."""
        read_to = self._revision()
        if self._heard.revision > read_to:
            zones, revision = frozenset(self._heard.zones), self._heard.revision
        else:
            zones, revision = self._own, read_to
        before = frozenset(self.known.zones)
        if zones == before:
            return
        for zone in sorted(zones - before):
            emit(Event.ZONE_EVACUATED, zone=zone, revision=revision)
        for zone in sorted(before - zones):
            emit(Event.ZONE_RETURNED, zone=zone, revision=revision)
        self.known = EvacuatedZones(tuple(sorted(zones)), revision)
        self.known_at = self._clock()
        self._on_change(zones)
