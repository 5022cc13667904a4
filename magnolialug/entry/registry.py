"""Reads the registry of endpoints from the key-value service."""

from collections.abc import Callable, Collection, Iterable, Sequence

from twisted.internet.interfaces import IReactorTime

from magnolialug.config.routing import Routing
from magnolialug.entry.directory import Directory
from magnolialug.events import Event, emit, explain
from magnolialug.guard import Guard
from magnolialug.ids import EndpointId, ServiceName
from magnolialug.platform.kv import KvEntry
from magnolialug.platform.registry import (
    REGISTRY_PREFIX,
    endpoint_id_of,
    read_listed,
)
from magnolialug.policy.lapse import may_have_lapsed
from magnolialug.policy.registeredendpoint import RegisteredEndpoint
from magnolialug.result import Code, Failure, failed
from magnolialug.watchsubscriber import WatchSubscriber

__all__ = ["Registry"]

# Registry entries that expired during an outage are written again within about
# two seconds after it, if the endpoint is alive.
_RENEWAL_GRACE_S = 2.0


class Registry(WatchSubscriber):
    """Updates the directory, and retains entries that expire in an outage.

    Endpoints renew their entries in the service. During an outage they
    cannot, and the entries of healthy endpoints expire. All requests would
    then be refused for lack of an endpoint as soon as the service answers
    again. So an entry that goes missing around an outage is retained until the
    endpoint has had time to write it again. It is not retained if the outage
    was too short for entries to expire, because an endpoint that has left
    would then get work for longer than it serves.

    Attributes:
      known: whether a snapshot has been read.
      guard: lists the endpoints of a snapshot.

    Args:
      heartbeat_s: how often an endpoint renews its entry.
      revision: returns the revision of what is being reported.
    """

    def __init__(
        self,
        directory: Directory,
        clock: IReactorTime,
        heartbeat_s: float,
        revision: Callable[[], int] = lambda: 0,
    ):
        self.known = False
        self.guard = Guard(clock.seconds)
        self._directory = directory
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._revision = revision
        self._uncertain_until = 0.0
        self._away = False
        self._missing: set[EndpointId] = set()
        self._services: Collection[ServiceName] | None = None
        self._unknown_service: dict[EndpointId, RegisteredEndpoint] = {}
        self._refused: dict[str, int] = {}

    def configure(self, routing: Routing) -> None:
        """Applies the services that may have endpoints.

        An entry of an unknown service must not claim the address of an
        endpoint. It is set aside, and listed when a later configuration names
        its service.
        """
        self._services = routing.services
        for peer in list(self._directory.peers.values()):
            if self._has_unknown_service(peer.listed):
                self._unknown_service[peer.listed.endpoint] = peer.listed
                self._directory.unlisted(peer.listed.endpoint)
        for endpoint, listed in list(self._unknown_service.items()):
            if not self._has_unknown_service(listed):
                del self._unknown_service[endpoint]
                self._directory.listed(listed)

    def snapshot(self, entries: Sequence[KvEntry]) -> None:
        """Replaces all entries by those in the service."""
        # Sorted by revision, so that of two entries that claim one address the
        # newer is applied last.
        by_change = sorted(entries, key=lambda entry: entry.revision)
        self._unknown_service.clear()
        keys = {entry.key for entry in entries}
        for gone in set(self._refused) - keys:
            del self._refused[gone]
        listed = [found for e in by_change if (found := self._read(e))]
        if self._is_uncertain():
            named = {entry.endpoint for entry in listed}
            self._missing -= named
            for endpoint in set(self._directory.peers) - named:
                self._hold_missing(endpoint)
            self._list_each(listed)
        else:
            self._missing.clear()
            self._list_each(listed)
            self._directory.retain({entry.endpoint for entry in listed})
        self.known = True
        # A version that came and went before is in no snapshot.
        self._directory.software.begin(self._clock.seconds(), self._revision())

    def changed(self, entry: KvEntry) -> None:
        """Applies one written or removed entry."""
        listed = self._read(entry) if entry.value is not None else None
        if listed is not None:
            self._missing.discard(listed.endpoint)
            self._directory.listed(listed)
            return
        endpoint = endpoint_id_of(entry.key)
        if entry.value is None:
            self._unknown_service.pop(endpoint, None)
            self._refused.pop(entry.key, None)
        if self._is_uncertain():
            self._hold_missing(endpoint)
        else:
            self._directory.unlisted(endpoint)

    def lost(self) -> None:
        """Records that the service does not answer."""
        self._away = True
        self._directory.software.known_since = None

    def back(self, away_s: float) -> None:
        """Records that the service answers again."""
        if self._away and may_have_lapsed(away_s, self._heartbeat_s):
            self._uncertain_until = self._clock.seconds() + _RENEWAL_GRACE_S
        if self._away and self.known:
            self._directory.software.begin(
                self._clock.seconds(), self._revision()
            )
        self._away = False

    def tick(self) -> None:
        """Removes retained entries that have not been written again in time."""
        if not self._missing or self._is_uncertain():
            return
        missing, self._missing = self._missing, set()
        for endpoint in missing:
            self._directory.unlisted(endpoint)

    def _list_each(self, entries: Iterable[RegisteredEndpoint]) -> None:
        """Lists endpoints; an entry that raises keeps no others back."""
        for entry in entries:
            exc = self.guard.call("listing", self._directory.listed, entry)
            if exc is not None:
                key = REGISTRY_PREFIX + entry.endpoint
                reason = f"{type(exc).__name__}: {exc}"
                bad = failed(Code.BAD_ENTRY, reason, key)
                emit(Event.ENTRY_REFUSED, key=key, **explain(bad))

    def _hold_missing(self, endpoint: EndpointId) -> None:
        """Retains an endpoint whose entry may have expired in an outage."""
        if endpoint in self._missing or endpoint not in self._directory.peers:
            return
        self._missing.add(endpoint)
        kept_s = max(0.0, self._uncertain_until - self._clock.seconds())
        emit(Event.ENTRY_MISSING, endpoint=endpoint, kept_s=round(kept_s, 3))

    def _is_uncertain(self) -> bool:
        return self._away or self._clock.seconds() < self._uncertain_until

    def _read(self, entry: KvEntry) -> RegisteredEndpoint | None:
        """Returns the endpoint of an entry, None if the entry is refused."""
        listed = read_listed(entry.key, entry.value)
        if isinstance(listed, Failure):
            self._refuse(entry, listed)
            return None
        if self._has_unknown_service(listed):
            failure = failed(
                Code.BAD_ENTRY, "unknown service", entry.key, listed.service
            )
            self._refuse(entry, failure)
            self._unknown_service[listed.endpoint] = listed
            return None
        self._unknown_service.pop(listed.endpoint, None)
        return listed

    def _has_unknown_service(self, listed: RegisteredEndpoint) -> bool:
        known = self._services
        return known is not None and listed.service not in known

    def _refuse(self, entry: KvEntry, failure: Failure) -> None:
        """Logs a refused entry once for each revision of it."""
        if self._refused.get(entry.key) != entry.revision:
            self._refused[entry.key] = entry.revision
            emit(Event.ENTRY_REFUSED, key=entry.key, **explain(failure))
