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
    """Tracks the set of evacuated zones.

    While the key-value service does not answer, the last known set stays in
    effect. A snapshot replaces it, which ends an evacuation that was withdrawn
    during the outage. A set that another entry reports with a later revision
    takes precedence until this entry has read up to that revision. Otherwise an
    entry that cannot reach the service would send requests to endpoints that
    may have turned cold or are about to stop.

    Attributes:
      current: the evacuated zones that this entry applies.
      changed_at: when they last changed, in seconds.

    Args:
      zones: the names of all zones.
      on_change: receives the evacuated zones whenever they change.
      revision: returns the revision of the key-value service up to which this
        entry has read.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        zones: Collection[str],
        on_change: Callable[[frozenset[ZoneId]], None],
        revision: Callable[[], int],
        clock: Callable[[], float],
    ):
        self.current = EvacuatedZones()
        self.changed_at = float("-inf")
        self._from_service: frozenset[ZoneId] = frozenset()
        self._from_peer = EvacuatedZones()
        self._known_zones = zones
        self._on_change = on_change
        self._revision = revision
        self._clock = clock

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Replaces all evacuations by those in the service."""
        found = [self._read(entry) for entry in entries]
        self._from_service = frozenset(
            zone for zone in found if zone is not None
        )
        self._from_peer = EvacuatedZones()
        self._apply()

    def changed(self, entry: KvEntry) -> None:
        """Applies one evacuation, or its withdrawal."""
        if entry.value is None:
            zone = ZoneId(entry.key.removeprefix(EVACUATION_PREFIX))
            self._from_service -= {zone}
        elif (zone := self._read(entry)) is not None:
            self._from_service |= {zone}
        # Each change is applied by itself: if a zone is evacuated and restored
        # between two watches, its endpoints have still turned cold.
        self._apply()

    def settled(self) -> None:
        """Chooses the current set again after a batch of changes."""
        self._apply()

    def update_from_peer(self, evacuated: EvacuatedZones) -> None:
        """Applies evacuated zones that another entry has reported."""
        if evacuated.revision > self._from_peer.revision:
            self._from_peer = evacuated
            self._apply()

    def _read(self, entry: KvEntry) -> ZoneId | None:
        zone = read_evacuation(entry.key, entry.value, self._known_zones)
        if isinstance(zone, Failure):
            emit(Event.EVACUATION_REFUSED, key=entry.key, **explain(zone))
            return None
        return zone

    def _apply(self) -> None:
        """Makes the set with the latest revision the current one."""
        read_to = self._revision()
        if self._from_peer.revision > read_to:
            zones, revision = (
                frozenset(self._from_peer.zones),
                self._from_peer.revision,
            )
        else:
            zones, revision = self._from_service, read_to
        before = frozenset(self.current.zones)
        if zones == before:
            return
        for zone in sorted(zones - before):
            emit(Event.ZONE_EVACUATED, zone=zone, revision=revision)
        for zone in sorted(before - zones):
            emit(Event.ZONE_RETURNED, zone=zone, revision=revision)
        self.current = EvacuatedZones(tuple(sorted(zones)), revision)
        self.changed_at = self._clock()
        self._on_change(zones)
