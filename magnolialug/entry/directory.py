"""The endpoints that the registry lists, and the connections to them."""

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from magnolialug.carrier.pool import Pool
from magnolialug.config.routing import Routing
from magnolialug.entry.peer import Peer
from magnolialug.events import Event, emit
from magnolialug.ids import EndpointId, ServiceName, ZoneId
from magnolialug.owners.ledgers import EndpointFacts
from magnolialug.policy.coldstart import ColdStart
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.lifetimes import Lifetimes
from magnolialug.policy.listed import Listed
from magnolialug.policy.oldweights import EngineWeights
from magnolialug.policy.ring import Ring
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import WorkShare

__all__ = ["Directory"]

# An engine that is announced to load is left alone for this long at most, in
# case the announcer dies before it says that the engine is done.
_LOADING_S = 4.0


class Directory:
    """Keeps one peer for each listed endpoint.

    Attributes:
      entries: how many entries share the endpoints.
      rollout: the newest that was told of weights being taken.
      rollout_at: when it was heard.

    Args:
      reactor: for connections and time.
      opened: is told of each new connection to an endpoint.
    """

    def __init__(
        self,
        reactor,
        opened: Callable[[], None] = lambda: None,
    ):
        self.peers: dict[EndpointId, Peer] = {}
        self.entries = 1
        self._rank = 0
        self.rollout: Rollout | None = None
        self.rollout_at = float("-inf")
        self._by_service: dict[ServiceName, list[Peer]] = {}
        self._rings: dict[ServiceName, Ring] = {}
        self._lifetimes = Lifetimes()
        self._routing: Routing | None = None
        self._evacuated: frozenset[ZoneId] = frozenset()
        self._reactor = reactor
        self._opened = opened

    def counted(self, entries: int, rank: int) -> None:
        """Takes how many entries share the endpoints.

        Args:
          rank: this entry's place among them, from 0.
        """
        self.entries = entries
        self._rank = rank
        for peer in self.peers.values():
            self._limit(peer)

    def configure(self, routing: Routing) -> None:
        """Takes the services' limits of a configuration."""
        self._routing = routing
        for peer in self.peers.values():
            self._limit(peer)
            peer.load = peer.load or self._load(peer.listed)

    def evacuate(self, zones: frozenset[ZoneId]) -> None:
        """Keeps new work from the endpoints of some zones, and of no others.

        What runs there goes on.
        """
        self._evacuated = zones
        self._rings.clear()
        for peer in self.peers.values():
            was_evacuated = peer.evacuated
            peer.evacuated = peer.listed.zone in zones
            if was_evacuated and not peer.evacuated:
                peer.starts_cold(self._reactor.seconds())

    def is_evacuated(self, service: ServiceName) -> bool:
        """Whether every endpoint that serves a service is evacuated."""
        peers = self._by_service.get(service, ())
        serving = [peer for peer in peers if not peer.leaving]
        return bool(serving) and all(peer.evacuated for peer in serving)

    def cold_wait_s(self, service: ServiceName) -> float | None:
        """Returns the time until a service's cold endpoints take a request.

        Returns:
          None if that is not what keeps requests from them.
        """
        now = self._reactor.seconds()
        waits = [
            peer.cold.wait_s(now)
            for peer in self._by_service.get(service, ())
            if peer.accepts_work
        ]
        return min(waits) if waits and min(waits) > 0 else None

    def shortlist(
        self, service: ServiceName, root: str, count: int
    ) -> list[Peer]:
        """Returns peers of a service that may get new work, in ring order.

        Args:
          root: what the order goes by; every entry gets the same one.
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
        """Returns what is known of the weights of all listed engines."""
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

    def listed(self, entry: Listed) -> None:
        """Takes a new or changed registry entry."""
        if self._lifetimes.is_over(entry.endpoint, entry.born_ms):
            emit(Event.ENDPOINT_STALE, endpoint=entry.endpoint)
            return
        peer = self.peers.get(entry.endpoint)
        if peer is None:
            self._add(entry)
            return
        moved = entry.address != peer.listed.address
        if moved or _is_another(peer, entry.born_ms):
            self._restart(peer, entry)
            return
        if entry.leaving and not peer.listed.leaving:
            emit(Event.ENDPOINT_LEAVING, endpoint=entry.endpoint)
            peer.pool.close()
            self._rings.pop(entry.service, None)
        peer.relist(entry, self._reactor.seconds())

    def unlisted(self, endpoint: EndpointId) -> None:
        """Takes an endpoint out; what is under way there goes on."""
        peer = self.peers.get(endpoint)
        if peer is None:
            return
        self._remove(peer)
        emit(Event.ENDPOINT_GONE, endpoint=endpoint, running=peer.running)

    def reported(self, peer: Peer, born_ms: int) -> bool:
        """Learns from an endpoint itself which start of it answered.

        Returns:
          whether it is the one that the peer stands for. Its registry entry
          tells of a new start a heartbeat later.
        """
        if peer.gone or not _is_another(peer, born_ms):
            return True
        if not self._lifetimes.is_over(peer.listed.endpoint, born_ms):
            entry = msgspec.structs.replace(
                peer.listed, born_ms=born_ms, weights=peer.all_weights()
            )
            self._restart(peer, entry)
        return False

    def found(self, peer: Peer, instance: EndpointId) -> None:
        """Learns which endpoint answers at a peer's address in its place."""
        self.misplaced(peer)
        self._lifetimes.over(peer.listed.endpoint, peer.listed.born_ms)
        true = self.peers.get(instance)
        if true is not None and true.gone:
            self._revive(true)

    def misplaced(self, peer: Peer) -> None:
        """Gives no more work to an endpoint whose address another has."""
        peer.gone = True
        peer.pool.close()
        self._rings.pop(peer.listed.service, None)

    def rolls_out(self, rollout: Rollout) -> None:
        """Takes which engines load weights now, and which have them.

        It comes from the key-value service, and from other entries, so that
        one that is cut off from the service learns of it too.
        """
        if self.rollout and rollout.number <= self.rollout.number:
            return
        self.rollout = rollout
        now = self._reactor.seconds()
        self.rollout_at = now
        for endpoint in rollout.taken:
            peer = self.peers.get(EndpointId(endpoint))
            if peer is not None:
                peer.heard_weights(rollout.model, rollout.version)
        for peer in self.peers.values():
            closed = peer.listed.endpoint in rollout.closed
            peer.closed_until = now + _LOADING_S if closed else 0.0

    def facts(self, endpoint: EndpointId) -> EndpointFacts | None:
        """Returns what its owner must know of an endpoint that is listed."""
        peer = self.peers.get(endpoint)
        return peer.facts(self._reactor.seconds()) if peer else None

    def share(self, endpoint: EndpointId) -> WorkShare | None:
        """Returns this entry's work at an endpoint that is listed."""
        peer = self.peers.get(endpoint)
        return peer.share(self._reactor.seconds()) if peer else None

    def replace(self, entries: Iterable[Listed]) -> None:
        """Takes the whole registry as it is now."""
        named = set()
        for entry in entries:
            named.add(entry.endpoint)
            self.listed(entry)
        for endpoint in set(self.peers) - named:
            self.unlisted(endpoint)

    @property
    def services(self) -> list[ServiceName]:
        """The services that have endpoints."""
        return list(self._by_service)

    def states(self) -> list[tuple[float, dict]]:
        """Returns how many endpoints are in which state, by service."""
        now = self._reactor.seconds()
        count: Counter[tuple[str, str]] = Counter()
        for peer in self.peers.values():
            count[peer.listed.service, peer.state(now)] += 1
        return [
            (number, {"service": service, "state": state})
            for (service, state), number in count.items()
        ]

    def connections(self) -> list[tuple[float, dict]]:
        """Returns how many connections there are, by service."""
        count: Counter[str] = Counter()
        for peer in self.peers.values():
            count[peer.listed.service] += peer.pool.connection_count
        return [(n, {"service": name}) for name, n in count.items()]

    def trim(self) -> None:
        """Closes idle connections whose time is over; forgets old reports."""
        now = self._reactor.seconds()
        for peer in self.peers.values():
            peer.pool.trim()
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

    def _restart(self, peer: Peer, entry: Listed) -> None:
        """Forgets all that was believed of an endpoint's earlier start.

        An endpoint that starts again holds and knows nothing of before. One
        would notice prompts sent where their parts were and read whole, and
        calls that wait for answers on connections that nobody serves.
        """
        emit(
            Event.ENDPOINT_RESTARTED,
            endpoint=entry.endpoint,
            running=peer.running,
            born_ms=entry.born_ms,
        )
        if _is_another(peer, entry.born_ms):
            self._lifetimes.over(entry.endpoint, peer.listed.born_ms)
        self._remove(peer)
        peer.ended_at = self._reactor.seconds()
        self._add(entry).starts_cold(peer.ended_at)

    def _remove(self, peer: Peer) -> None:
        del self.peers[peer.listed.endpoint]
        self._by_service[peer.listed.service].remove(peer)
        self.misplaced(peer)

    def _revive(self, peer: Peer) -> None:
        """Uses an endpoint again that another seemed to have displaced."""
        entry = peer.listed
        self._lifetimes.goes_on(entry.endpoint, entry.born_ms)
        self._remove(peer)
        self._add(entry)

    def _displace(self, entry: Listed) -> None:
        """Takes an address from the endpoint that had it before.

        That one has ended, since two cannot have one address. An entry of it
        that is written once more, late, must not take the address back: one
        would notice that a sound endpoint gets no work for the rest of its
        life, as its predecessor's every request is turned away.
        """
        for peer in list(self.peers.values()):
            if peer.listed.address != entry.address or peer.gone:
                continue
            before = peer.listed
            self._lifetimes.over(before.endpoint, before.born_ms)
            emit(
                Event.ENDPOINT_REPLACED,
                endpoint=before.endpoint,
                by=entry.endpoint,
            )
            self.misplaced(peer)

    def _add(self, entry: Listed) -> Peer:
        self._displace(entry)
        pool = Pool(
            self._reactor,
            entry.address,
            self._connections(entry),
            self._reactor.seconds,
            self._opened,
        )
        cold = ColdStart()
        peer = Peer(entry, pool, self._load(entry), cold)
        self._limit(peer)
        peer.relist(entry, self._reactor.seconds())
        peer.evacuated = entry.zone in self._evacuated
        self.peers[entry.endpoint] = peer
        self._by_service.setdefault(entry.service, []).append(peer)
        self._rings.pop(entry.service, None)
        emit(
            Event.ENDPOINT_LISTED,
            endpoint=entry.endpoint,
            service=entry.service,
            zone=entry.zone,
            address=f"{entry.address[0]}:{entry.address[1]}",
            leaving=entry.leaving,
        )
        return peer

    def _limit(self, peer: Peer) -> None:
        """Sets this entry's shares of what an endpoint takes from all."""
        peer.pool.limit = self._connections(peer.listed)
        service = self._service(peer.listed)
        if service is not None:
            peer.cold.limit(
                service.cold_start_s,
                service.cold_per_s / self.entries,
                self._rank / self.entries,
            )

    def _load(self, entry: Listed) -> EngineLoad | None:
        service = self._service(entry)
        if service is None or service.engine is None:
            return None
        return EngineLoad(service.engine.memory_tokens, service.engine.slots)

    def _connections(self, entry: Listed) -> int:
        """Returns this entry's share of an endpoint's connections."""
        service = self._service(entry)
        total = service.connections if service else entry.slots
        return max(1, total // (self.entries + 1))

    def _service(self, entry: Listed):
        if self._routing is None:
            return None
        return self._routing.services.get(entry.service)


def _is_another(peer: Peer, born_ms: int) -> bool:
    """Whether a start is another than that of a peer; unknown ones are not."""
    return bool(born_ms and peer.listed.born_ms) and (
        born_ms != peer.listed.born_ms
    )
