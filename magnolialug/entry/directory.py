"""The endpoints that the registry lists, and the connections to them."""

from collections import Counter
from collections.abc import Callable, Container
from functools import partial

import msgspec

from magnolialug.carrier.peermonitor import PeerMonitor
from magnolialug.carrier.pool import Address, Pool
from magnolialug.config.routing import Routing
from magnolialug.entry.peer import Peer
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId, ServiceName, SoftwareVersion, ZoneId
from magnolialug.owners.ledgers import EndpointFacts
from magnolialug.policy.coldstart import ColdStart
from magnolialug.policy.endedinstances import EndedInstances
from magnolialug.policy.endpointnotice import (
    LeavingEndpoint,
    LeavingStarts,
    NoticeSource,
    ReceivedNotices,
)
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.oldweights import EngineWeights
from magnolialug.policy.registeredendpoint import (
    UNKNOWN_SOFTWARE,
    RegisteredEndpoint,
)
from magnolialug.policy.ring import Ring
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sendlimit import MIN_RATE
from magnolialug.policy.sharedload import WorkShare
from magnolialug.policy.softwarehistory import SoftwareHistory
from magnolialug.policy.startreport import StartReport

__all__ = ["Directory"]

# The longest time that an engine gets no new work after a rollout announces
# that it loads weights, in case the leader fails before it announces the end.
_LOADING_TIMEOUT_S = 4.0


class Directory:
    """Keeps one peer for each listed endpoint.

    Attributes:
      entries: how many entries share the endpoints.
      rollout: the newest known rollout of weights.
      rollout_received_at: when that rollout was received.
      software: the software versions that have been listed lately.
      on_leaving: called when an answer to this entry is the first from which it
        learns that an endpoint leaves.
      on_replaced: called when another endpoint has answered a request of this
        entry at an endpoint's address.
      on_unreachable: called when this entry could not connect to an endpoint.

    Args:
      reactor: for connections and time.
      on_connect: called for each new connection to an endpoint.
      drain_s: how long an endpoint serves on that has said that it leaves.
      unheard_since: returns the earliest time at which what is listed now can
        have been written; None for the time at which it is listed.
    """

    def __init__(
        self,
        reactor,
        on_connect: Callable[[], None] = lambda: None,
        monitor: PeerMonitor | None = None,
        drain_s: float = float("inf"),
        unheard_since: Callable[[], float] | None = None,
    ):
        self.peers: dict[EndpointId, Peer] = {}
        self.entries = 1
        self._rank = 0
        self.rollout: Rollout | None = None
        self.rollout_received_at = float("-inf")
        self._by_service: dict[ServiceName, list[Peer]] = {}
        self._rings: dict[ServiceName, Ring] = {}
        self.software = SoftwareHistory()
        self.on_leaving: Callable[[LeavingEndpoint], None] = lambda _: None
        self.on_replaced: Callable[[Peer, EndpointId], None] = (
            lambda peer, instance: None
        )
        self.on_unreachable: Callable[[Peer], None] = lambda peer: None
        self._leaving = LeavingStarts()
        self._lifetimes = EndedInstances()
        self._removed: dict[tuple[EndpointId, Address], Peer] = {}
        self._routing: Routing | None = None
        self._evacuated: frozenset[ZoneId] = frozenset()
        self._reactor = reactor
        self._drain_s = drain_s
        self._unheard_since = unheard_since or reactor.seconds
        self._on_connect = on_connect
        self._monitor = monitor or PeerMonitor(
            reactor.seconds, reactor.callLater
        )

    def set_entry_count(self, entries: int, rank: int) -> None:
        """Sets how many entries share the endpoints.

        Args:
          rank: this entry's position among them, from 0.
        """
        self.entries = entries
        self._rank = rank
        for peer in self.peers.values():
            self._apply_limits(peer)

    def configure(self, routing: Routing) -> None:
        """Applies the services' limits and the routes of a configuration."""
        self._routing = routing
        self.software.configure(routing.routes, self._reactor.seconds())
        for peer in self.peers.values():
            self._apply_limits(peer)
            peer.load = peer.load or self._load(peer.listed)

    def evacuate(self, zones: frozenset[ZoneId]) -> None:
        """Sets the evacuated zones, whose endpoints get no new work.

        Requests in progress there continue.
        """
        self._evacuated = zones
        self._rings.clear()
        for peer in self.peers.values():
            was_evacuated = peer.evacuated
            peer.evacuated = peer.listed.zone in zones
            if was_evacuated and not peer.evacuated:
                peer.mark_cold(self._reactor.seconds())

    def is_evacuated(self, service: ServiceName) -> bool:
        """Whether every endpoint that serves a service is evacuated."""
        peers = self._by_service.get(service, ())
        serving = [peer for peer in peers if not peer.leaving]
        return bool(serving) and all(peer.evacuated for peer in serving)

    def has_version(
        self, service: ServiceName, software: SoftwareVersion
    ) -> bool:
        """Whether an endpoint of a service that stays may have a version.

        That of a start which has not registered yet is unknown.
        """
        possible = (software, UNKNOWN_SOFTWARE)
        return any(
            peer.listed.software in possible and not peer.leaving
            for peer in self._by_service.get(service, ())
        )

    def send_wait_s(self, service: ServiceName) -> float | None:
        """Returns the seconds until some endpoint may get a request.

        Returns:
          None if some endpoint may get one now, or none accepts work at all.
        """
        now = self._reactor.seconds()
        waits = [
            peer.send_wait_s(now)
            for peer in self._by_service.get(service, ())
            if peer.accepts_work
        ]
        return min(waits) if waits and min(waits) > 0 else None

    def is_resting(self, service: ServiceName) -> bool:
        """Whether all endpoints of a service that accept work want a rest."""
        now = self._reactor.seconds()
        peers = self._by_service.get(service, ())
        working = [peer for peer in peers if peer.accepts_work]
        return bool(working) and not any(
            peer.rest.may_send(now) for peer in working
        )

    def send_limit(self, service: ServiceName) -> float:
        """Returns this entry's share of what limited endpoints accept.

        Returns:
          requests per second, 0 if no endpoint of the service has a limit.
        """
        total = sum(
            max(peer.limit.rate, MIN_RATE)
            for peer in self._by_service.get(service, ())
            if peer.accepts_work and peer.limit.rate is not None
        )
        return total / self.entries

    def shortlist(
        self, service: ServiceName, root: str, count: int
    ) -> list[Peer]:
        """Returns peers of a service that may get new work, in ring order.

        Args:
          root: the placement key; it gives the same order at every entry.
        """
        names = self._ring(service).candidates(root, count)
        return [self.peers[name] for name in names]

    def size(self, service: ServiceName) -> int:
        """Returns how many peers of a service may get new work."""
        return len(self._ring(service))

    def engines_with(self, model: str) -> list[Peer]:
        """Returns the engines that serve a model and accept work."""
        return [
            peer
            for peer in self.peers.values()
            if peer.serves(model) and peer.accepts_work
        ]

    def engine_weights(self) -> list[EngineWeights]:
        """Returns the known weights of all listed engines."""
        return [
            EngineWeights(endpoint, model, peer.weights(model))
            for endpoint, peer in self.peers.items()
            if peer.load is not None
            for model in peer.all_weights()
        ]

    def engine_memory(self, service: ServiceName) -> int:
        """Returns the memory of a service's engines in tokens, 0 for none."""
        routing = self._routing
        found = routing.services.get(service) if routing else None
        return found.engine.memory_tokens if found and found.engine else 0

    def listed(self, entry: RegisteredEndpoint) -> None:
        """Applies a new or changed registry entry."""
        if self._lifetimes.has_ended(entry.endpoint, entry.born_ms):
            emit(Event.ENDPOINT_STALE, endpoint=entry.endpoint)
            return
        peer = self.peers.get(entry.endpoint)
        if peer is None:
            self._add(entry)
            return
        known = peer.listed
        moved = (entry.service, entry.address) != (known.service, known.address)
        if moved or peer.is_other_start(entry.born_ms):
            self._restart(peer, entry)
            return
        if entry.leaving and not peer.listed.leaving:
            emit(
                Event.ENDPOINT_LEAVING,
                endpoint=entry.endpoint,
                source=NoticeSource.REGISTRY.value,
                running=peer.running,
            )
            peer.pool.close()
            peer.leaving_since = self._unheard_since()
            self._rings.pop(entry.service, None)
        self._update_software(peer, entry)
        peer.update_listing(entry, self._reactor.seconds())

    def unlisted(self, endpoint: EndpointId) -> None:
        """Removes an endpoint; requests in progress there continue."""
        peer = self.peers.get(endpoint)
        if peer is None:
            return
        self._remove(peer)
        emit(Event.ENDPOINT_GONE, endpoint=endpoint, running=peer.running)

    def verify_start(self, peer: Peer, born_ms: int) -> bool:
        """Compares the start that an endpoint reports with the known one.

        A new start replaces the peer at once; the registry entry of that start
        arrives a heartbeat later.

        Returns:
          whether the reported start is the one that the peer represents.
        """
        if peer.gone or not peer.is_other_start(born_ms):
            return True
        if not self._lifetimes.has_ended(peer.listed.endpoint, born_ms):
            entry = msgspec.structs.replace(
                peer.listed,
                born_ms=born_ms,
                weights=peer.all_weights(),
                software=UNKNOWN_SOFTWARE,
            )
            self._restart(peer, entry)
        return False

    def record_notices(self, peer: Peer, received: ReceivedNotices) -> None:
        """Applies what an answer says of an endpoint, if of this start."""
        if self.verify_start(peer, received.born_ms):
            peer.record_notices(received)

    def leaving_since(self, at: float) -> tuple[LeavingEndpoint, ...]:
        """Returns the endpoints that were found to leave after a time."""
        return self._leaving.since(at)

    def record_leaving(self, leaving: LeavingEndpoint) -> None:
        """Applies that an endpoint leaves, by an answer to another entry."""
        peer = self.peers.get(leaving.endpoint)
        if peer is not None and not peer.is_other_start(leaving.born_ms):
            peer.record_leaving(NoticeSource.ENTRY)

    def handle_address_taken(self, peer: Peer, instance: EndpointId) -> None:
        """Retires a peer at whose address another endpoint answers.

        The other endpoint is used again if it was taken for displaced.
        """
        self.retire(peer)
        self._lifetimes.mark_ended(peer.listed.endpoint, peer.listed.born_ms)
        current = self.peers.get(instance)
        if current is not None and current.gone:
            self._revive(current)
        self.on_replaced(peer, instance)

    def record_reported_end(self, report: StartReport, seen_at: float) -> bool:
        """Applies another entry's report; returns whether it changes anything.

        A report does not decide which of two endpoints has an address: where
        its successor is taken for displaced here, an answer to this entry does.
        """
        peer = self.peers.get(report.endpoint)
        successor = self.peers.get(report.successor)
        if peer is None or peer.is_other_start(report.born_ms):
            return False
        if peer.listed.address != report.address:
            return False
        if successor is not None and successor.gone:
            return False
        return peer.record_reported_end(
            report.evidence, seen_at, self._reactor.seconds()
        )

    def retire(self, peer: Peer) -> None:
        """Gives no more work to a removed or displaced endpoint."""
        peer.gone = True
        peer.pool.close()
        self._rings.pop(peer.listed.service, None)

    def update_rollout(self, rollout: Rollout) -> None:
        """Applies which engines are loading weights and which have them.

        Rollouts arrive from the key-value service and from other entries, so
        that an entry that is cut off from the service gets them too.
        """
        if self.rollout and rollout.number <= self.rollout.number:
            return
        self.rollout = rollout
        now = self._reactor.seconds()
        self.rollout_received_at = now
        for endpoint in rollout.taken:
            peer = self.peers.get(EndpointId(endpoint))
            if peer is not None:
                peer.record_weights(rollout.model, rollout.version)
        for peer in self.peers.values():
            closed = peer.listed.endpoint in rollout.closed
            peer.closed_until = now + _LOADING_TIMEOUT_S if closed else 0.0

    def facts(self, endpoint: EndpointId) -> EndpointFacts | None:
        """Returns an endpoint's facts for its owner; None if not listed."""
        peer = self.peers.get(endpoint)
        return peer.facts(self._reactor.seconds()) if peer else None

    def share(self, endpoint: EndpointId) -> WorkShare | None:
        """Returns this entry's work at an endpoint; None if not listed."""
        peer = self.peers.get(endpoint)
        return peer.share(self._reactor.seconds()) if peer else None

    def retain(self, endpoints: Container[EndpointId]) -> None:
        """Removes all endpoints but some."""
        for endpoint in list(self.peers):
            if endpoint not in endpoints:
                self.unlisted(endpoint)

    @property
    def services(self) -> list[ServiceName]:
        """The services that have endpoints."""
        return list(self._by_service)

    def states(self) -> list[tuple[float, dict]]:
        """Returns the number of endpoints by service and state."""
        now = self._reactor.seconds()
        count: Counter[tuple[str, str]] = Counter()
        for peer in self.peers.values():
            count[peer.listed.service, peer.state(now)] += 1
        return [
            (number, {"service": service, "state": state})
            for (service, state), number in count.items()
        ]

    def connections(self) -> list[tuple[float, dict]]:
        """Returns the number of open connections by service."""
        count: Counter[str] = Counter()
        for peer in self.peers.values():
            count[peer.listed.service] += peer.pool.connection_count
        return [(n, {"service": name}) for name, n in count.items()]

    def trim(self) -> None:
        """Closes expired idle connections, drops what has become old."""
        now = self._reactor.seconds()
        self._removed = {
            start: peer
            for start, peer in self._removed.items()
            if peer.running or peer.rest.is_resting(now)
        }
        for peer in self.peers.values():
            peer.pool.trim()
            peer.apply_connection_limit(now)
            peer.log_end_of_rest(now)
            if peer.load is not None:
                peer.load.tick(now)

    def close(self) -> None:
        """Closes every idle connection."""
        for peer in self.peers.values():
            peer.pool.close()

    def _ring(self, service: ServiceName) -> Ring:
        ring = self._rings.get(service)
        if ring is None:
            peers = self._by_service.get(service, ())
            names = [p.listed.endpoint for p in peers if p.accepts_work]
            ring = self._rings[service] = Ring(names)
        return ring

    def _restart(self, peer: Peer, entry: RegisteredEndpoint) -> None:
        """Replaces the peer of an endpoint's earlier start by a new one.

        A restarted endpoint has lost its state. With the old peer, prompts
        would be sent where their parts were cached before and be read whole,
        and calls would wait for answers on dead connections.
        """
        emit(
            Event.ENDPOINT_RESTARTED,
            endpoint=entry.endpoint,
            running=peer.running,
            born_ms=entry.born_ms,
        )
        if peer.is_other_start(entry.born_ms):
            self._lifetimes.mark_ended(entry.endpoint, peer.listed.born_ms)
        self._remove(peer)
        peer.restarted_at = self._reactor.seconds()
        self._add(entry).mark_cold(peer.restarted_at)

    def _update_software(self, peer: Peer, entry: RegisteredEndpoint) -> None:
        before = peer.listed
        if before.software == UNKNOWN_SOFTWARE != entry.software:
            self.software.identify(entry.service, entry.software)
        elif before.software != entry.software:
            self.software.add(entry.service, entry.software)
            self.software.remove(
                before.service, before.software, self._reactor.seconds()
            )

    def _remove(self, peer: Peer) -> None:
        del self.peers[peer.listed.endpoint]
        self._removed[peer.start_id, peer.listed.address] = peer
        self._by_service[peer.listed.service].remove(peer)
        self.software.remove(
            peer.listed.service, peer.listed.software, self._reactor.seconds()
        )
        self.retire(peer)

    def _revive(self, peer: Peer) -> None:
        """Uses an endpoint again that was wrongly taken for displaced."""
        entry = peer.listed
        self._lifetimes.unmark_ended(entry.endpoint, entry.born_ms)
        self._remove(peer)
        self._add(entry)

    def _displace(self, entry: RegisteredEndpoint) -> None:
        """Retires the endpoint that had the address of a new entry before.

        That endpoint has ended, because two cannot share an address. A late
        write of its entry must not take the address back: every request to it
        would be refused, and the live endpoint would never get work.
        """
        for peer in list(self.peers.values()):
            if peer.listed.address != entry.address or peer.gone:
                continue
            before = peer.listed
            self._lifetimes.mark_ended(before.endpoint, before.born_ms)
            emit(
                Event.ENDPOINT_REPLACED,
                endpoint=before.endpoint,
                by=entry.endpoint,
            )
            self.retire(peer)

    def _add(self, entry: RegisteredEndpoint) -> Peer:
        self._displace(entry)
        pool = Pool(
            self._reactor,
            entry.address,
            1,
            self._reactor.seconds,
            self._on_connect,
            self._monitor,
        )
        cold = ColdStart()
        peer = Peer(entry, pool, self._load(entry), cold)
        # The same start may be listed again after its entry has lapsed, and
        # may ask for a rest in answers to earlier requests.
        before = self._removed.pop((peer.start_id, entry.address), peer)
        peer.rest = before.rest
        peer.drain_s = self._drain_s
        self._apply_limits(peer)
        peer.update_listing(entry, self._reactor.seconds())
        peer.evacuated = entry.zone in self._evacuated
        self.peers[entry.endpoint] = peer
        self._by_service.setdefault(entry.service, []).append(peer)
        self.software.add(entry.service, entry.software)
        self._rings.pop(entry.service, None)
        emit(
            Event.ENDPOINT_LISTED,
            endpoint=entry.endpoint,
            service=entry.service,
            zone=entry.zone,
            address=f"{entry.address[0]}:{entry.address[1]}",
            leaving=entry.leaving,
            software=entry.software,
        )
        peer.on_leaving = partial(self._handle_leaving, peer)
        if self._leaving.includes(entry):
            peer.record_leaving(NoticeSource.RELISTED)
        return peer

    def _handle_leaving(self, peer: Peer, source: NoticeSource) -> None:
        """Takes a leaving endpoint off the ring, and tells other entries."""
        listed = peer.listed
        self._leaving.record(listed, self._reactor.seconds())
        self._rings.pop(listed.service, None)
        is_current = self.peers.get(listed.endpoint) is peer
        if source is NoticeSource.ANSWER and is_current:
            self.on_leaving(LeavingEndpoint(listed.endpoint, listed.born_ms))

    def _apply_limits(self, peer: Peer) -> None:
        """Sets this entry's shares of an endpoint's limits."""
        peer.connections.divide(self._connections(peer.listed), self.entries)
        peer.apply_connection_limit(self._reactor.seconds())
        peer.limit.share(self.entries, self._rank / self.entries)
        peer.rest.stagger(self.entries, self._rank / self.entries)
        service = self._service(peer.listed)
        if service is not None:
            peer.cold.limit(
                service.cold_start_s,
                service.cold_per_s / self.entries,
                self._rank / self.entries,
            )

    def _load(self, entry: RegisteredEndpoint) -> EngineLoad | None:
        service = self._service(entry)
        if service is None or service.engine is None:
            return None
        return EngineLoad(service.engine.memory_tokens, service.engine.slots)

    def _connections(self, entry: RegisteredEndpoint) -> int:
        """Returns how many connections an endpoint accepts."""
        service = self._service(entry)
        return service.connections if service else entry.slots

    def _service(self, entry: RegisteredEndpoint):
        if self._routing is None:
            return None
        return self._routing.services.get(entry.service)
