"""The platform around the machines: stand-ins, each behind a proxy."""

from collections.abc import Callable

from twisted.web.server import Site

from magnolialug.platform.kv import KvEntry
from magnolialug.soak.block import Block
from magnolialug.soak.engine import Engine
from magnolialug.soak.historychecker import HistoryChecker
from magnolialug.soak.idlelimits import IdleLimits
from magnolialug.soak.kvwriter import write_past_faults
from magnolialug.soak.leaving import LeavingChecks
from magnolialug.soak.limits import LimitChecks
from magnolialug.soak.machine import CONTACT_S
from magnolialug.soak.poison import PoisonRecord, poison_of
from magnolialug.soak.proxy import Path, Proxy
from magnolialug.soak.rests import RestChecks
from magnolialug.soak.slot import Slot
from magnolialug.soak.worldconfig import soak_config
from magnolialug.soak.zones import COLD_PER_S, COLD_S, ZoneChecks
from magnolialug.standin.endpoint import EndpointStandin, Received
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.standin.operatorconfig import cache_store
from magnolialug.standin.partstore import PartStoreStandin

__all__ = ["DRAIN_S", "EVENTS", "World"]

EVENTS = 4
DRAIN_S = 2.0
_SLACK_S = 0.3
_STORE = "cache"
# Room for all that a run saves.
_STORE_TOKENS = 1_000_000
_HEARTBEATS_S = 3.6
# Pauses between the events of a stream.
_GAP_S = 0.01
_SLOW_GAP_S = 0.15
# How fast engines read where the length of a prompt matters.
_PREFILL_TOKENS_PER_S = 57_000.0
# An endpoint has begun a poison request, and not answered it, by then.
_BEGUN_S = 0.005
_BACK_S = 1.5
_FAULTY_S = 8.0


class World:
    """Stand-ins of the store, endpoints and a store of cache parts.

    Attributes:
      kv: the store's content and faults.
      slots: endpoints by their number.
      versions: when which configuration was acknowledged.
      weights: the newest that were named.
      software: the version that engines have which start now.
      poisoned: what each poison request or part has done, by its name.
      zones: the evacuated zones and the cold endpoints.
      limits: the request rates that endpoints name.
      leaving: the endpoints whose answers say that they leave.
      rests: the endpoints that refuse requests for a time.
      idle_limits: how long callers' connections may be idle.

    Args:
      touched: tells whether a request's machine and the store are calm.
      halted: tells whether a machine has started or stood still since a time.
      cold_starts: whether endpoints are cold after a start.
      slow_streams: whether streams last long enough to meet most faults.
      long_prompts: whether callers send long prompts too, and engines take as
        long as they have to read.
    """

    def __init__(
        self,
        reactor,
        block: Block,
        history: HistoryChecker,
        touched: Callable[[str, float], bool],
        halted: Callable[[str, float], bool],
        desks: int = 3,
        engines: int = 3,
        cold_starts: bool = False,
        slow_streams: bool = False,
        long_prompts: bool = False,
    ):
        self.zones = ZoneChecks(reactor.seconds, touched, history.broken)
        self.limits = LimitChecks(reactor.seconds, touched, history.broken)
        self.leaving = LeavingChecks(reactor.seconds, halted, history.broken)
        self.rests = RestChecks(reactor.seconds, halted, history.broken)
        self.idle_limits = IdleLimits(reactor.seconds)
        self._cold_starts = cold_starts
        self._long_prompts = long_prompts
        self.kv = KvStore(reactor)
        self.versions: list[float] = []
        self.weights = 1
        self.software = "v1"
        self._event_gap_s = _SLOW_GAP_S if slow_streams else _GAP_S
        self.store_disturbed_until = 0.0
        self.slots: list[Slot] = []
        self.poisoned: dict[bytes, PoisonRecord] = {}
        self.walls: dict[str, tuple[str, int]] = {}
        self.part_store = PartStoreStandin(reactor, "i-store")
        self._reactor = reactor
        self._block = block
        self._history = history
        self._touched = touched
        self._numbers = iter(range(1, 10_000))
        self._ports: list = []
        kv_port = self._listen(Site(kv_face(self.kv)))
        self.kv_address = kv_port
        self.part_store_address = self._proxied(10, self.part_store)
        for number in range(desks + engines):
            service = "desk" if number < desks else "llm"
            self._add_slot(20 + number, service)
        self.configure()

    def listen(self, factory, address) -> None:
        """Listens at an address of the run's block."""
        host, port = address
        self._ports.append(
            self._reactor.listenTCP(port, factory, interface=host)
        )

    def close(self) -> None:
        """Closes everything."""
        for port in self._ports:
            port.stopListening()

    def configure(self) -> None:
        """Writes the next version of the operator's configuration."""
        version = len(self.versions) + 1
        host, port = self.part_store_address
        store = cache_store(_STORE, f"{host}:{port}", _STORE_TOKENS)
        config = soak_config(
            version, store, self.idle_limits.newest_s, self._long_prompts
        )
        if self._cold_starts:
            for row in config["services"][:2]:
                row.update(coldStartS=COLD_S, coldPerS=COLD_PER_S)
        self.write("op/config", config)
        self.versions.append(self._reactor.seconds())

    def set_idle_limit(self, limit_s: float) -> None:
        """Writes a configuration with another limit of idle connections."""
        self.idle_limits.name(limit_s)
        self.configure()

    def name_weights(self) -> None:
        """Names the next version of the model's weights."""
        self.weights += 1
        value = {"model": "m", "version": self.weights}
        self.write("op/version/m", value)

    def limit(self, slot: Slot, rate: float) -> None:
        """Lets the answers of an endpoint name a limit."""
        slot.endpoint.send_limit = rate
        self.limits.name(slot.endpoint.instance, rate)

    def end_limit(self, endpoint: EndpointStandin) -> None:
        """Lets the answers of an endpoint name no limit any more."""
        endpoint.send_limit = None
        self.limits.end(endpoint.instance)

    def announce_leaving(self, slot: Slot) -> None:
        """Lets the answers of an endpoint say that it leaves."""
        slot.endpoint.leaving = 1
        self.leaving.announce(slot.endpoint.instance)

    def evacuate(self, zone: str) -> None:
        """Asks that nothing more be sent to a zone."""
        self.write(f"op/evacuate/{zone}", {})
        self.zones.evacuate(zone)

    def take_back(self, zone: str) -> None:
        """Ends an evacuation; the zone's endpoints have turned cold."""
        self.zones.take_back(zone)
        for slot in self.slots:
            if slot.zone == zone and slot.endpoint is not None:
                self._turn_cold(slot)
                self.relist(slot)
        self.remove(f"op/evacuate/{zone}")

    def _turn_cold(self, slot: Slot) -> None:
        if self._cold_starts:
            slot.row["coldRemainingMs"] = int(COLD_S * 1000)
            self.zones.starts(slot.endpoint.instance)

    def disturb_store(self, for_s: float) -> None:
        """Learns that something is done to the key-value service."""
        until = self._reactor.seconds() + for_s
        self.store_disturbed_until = max(self.store_disturbed_until, until)

    def crash(self, slot: Slot) -> None:
        """Ends an endpoint; its entry runs out later."""
        gone, slot.endpoint = slot.endpoint, None
        slot.proxy.opens(Path.REFUSED)
        for link in list(slot.proxy.links):
            link.reset()
        self._reactor.callLater(
            _HEARTBEATS_S, self.remove, f"servers/{gone.instance}"
        )

    def revive(self, slot: Slot, service: str = "") -> None:
        """Starts a fresh endpoint at an address, maybe of another service."""
        slot.service = service or slot.service
        slot.leaving_at = None
        slot.listed = True
        slot.endpoint = self._endpoint(slot)
        slot.proxy.target = self._listen(slot.endpoint)
        slot.proxy.opens(Path.OPEN)
        self._list(slot)

    def start_again(self, slot: Slot) -> None:
        """Ends an endpoint and starts it again at once, under its id."""
        for link in list(slot.proxy.links):
            link.reset()
        slot.endpoint.start_again(self._born_ms())
        slot.endpoint.leaving = None
        self.leaving.end(slot.endpoint.instance)
        self.rests.end(slot.endpoint.instance)
        self.relist(slot)

    def drain(self, slot: Slot) -> None:
        """An endpoint says that it will leave."""
        slot.row["state"] = "draining"
        self.write(f"servers/{slot.endpoint.instance}", slot.row)
        self._leaves(slot)

    def unlist(self, slot: Slot) -> None:
        """An endpoint leaves without saying so; its entry is removed."""
        self.remove(f"servers/{slot.endpoint.instance}")
        slot.listed = False
        self._leaves(slot)

    def _leaves(self, slot: Slot) -> None:
        slot.leaving_at = self._reactor.seconds()
        calm_from = self.store_disturbed_until + CONTACT_S
        slot.left_calmly = calm_from < slot.leaving_at

    def write(self, key: str, value: dict | bytes) -> None:
        """Writes a key past all faults, as its owner does."""
        write_past_faults(self.kv, key, value)

    def stored(self, prefix: str) -> list[KvEntry]:
        """Returns what keys with a prefix hold, past all faults."""
        rows = self.kv._rows.items()
        return [row for key, row in rows if key.startswith(prefix)]

    def remove(self, key: str) -> None:
        """Removes a key."""
        self.kv._remove(key)

    def runs_of(self, service: str) -> list[Slot]:
        """Returns the slots whose endpoint is up."""
        return [
            slot
            for slot in self.slots
            if slot.service == service and slot.endpoint is not None
        ]

    def _add_slot(self, number: int, service: str) -> None:
        address = self._block.endpoint(number)
        proxy = Proxy(self._reactor, ("127.0.0.1", 1))
        self.listen(proxy, address)
        slot = Slot(address, proxy, service, "ab"[number % 2])
        self.slots.append(slot)
        self.revive(slot)

    def _endpoint(self, slot: Slot) -> EndpointStandin:
        instance = f"i-{slot.service}{next(self._numbers)}"
        if slot.service == "desk":
            endpoint = EndpointStandin(self._reactor, instance)
            endpoint.body_of = lambda req: (
                f"{instance}|{req.request_id}|{req.target}".encode()
            )
        else:
            endpoint = self._engine(instance)
        endpoint.born_ms = self._born_ms()
        endpoint.ran = self._history.ran
        endpoint.on_arrival = lambda req: self._arrived(slot, endpoint, req)
        endpoint.on_refusal = lambda req: self._refused(slot, endpoint, req)
        return endpoint

    def _engine(self, instance: str) -> Engine:
        engine = Engine(self._reactor, instance)
        engine.events = EVENTS
        engine.version = self.weights
        engine.software = self.software
        engine.gap_s = self._event_gap_s
        if self._long_prompts:
            engine.reads_in_chunks(_PREFILL_TOKENS_PER_S)
        host, port = self.part_store_address
        engine.stores[f"{host}:{port}"] = self.part_store
        return engine

    def _arrived(self, slot: Slot, endpoint, req: Received) -> None:
        if not req.request_id:
            return
        row = self._history.sent.get(req.request_id)
        machine = row.machine if row else ""
        now = self._reactor.seconds()
        sent_at = row.at if row else now
        # What an impaired way to the endpoint or its silence held up is not
        # the gateway's.
        held_up = slot.silent_until > sent_at
        impaired = held_up or slot.faulty_until > sent_at
        touched = not impaired and self._touched(machine, sent_at)
        self._history.arrived(endpoint.instance, slot.service, req, touched)
        if req.headers.get("x-expect-instance") != endpoint.instance:
            # It is turned away unrun, which is no work.
            return
        if slot.endpoint is endpoint:
            self.leaving.arrived(
                endpoint.instance, req.request_id, machine, sent_at
            )
            if not impaired:
                self.rests.arrived(endpoint.instance, req.request_id, machine)
            if not held_up:
                self._check_sending(slot, req, machine, sent_at)
            poison = poison_of(req)
            if poison is not None:
                self._poisoned(slot, req, machine, *poison)
        if slot.service == "llm":
            self._check_walls(endpoint, req)

    def _refused(self, slot: Slot, endpoint, req: Received) -> None:
        row = self._history.sent.get(req.request_id)
        # An impaired way may hold up the refusal.
        impaired = slot.faulty_until > self._reactor.seconds()
        if row is not None and endpoint.rest is not None and not impaired:
            value = str(endpoint.rest)
            self.rests.refused(endpoint.instance, row.machine, value)

    def _check_sending(
        self, slot: Slot, req: Received, machine: str, sent_at: float
    ) -> None:
        """Checks whether an endpoint may get a request now."""
        instance = slot.endpoint.instance
        self._check_drain(slot, req, machine, sent_at)
        self.zones.arrived(
            instance, slot.zone, req.request_id, machine, sent_at
        )
        self.limits.arrived(instance, req.request_id, machine)

    def _check_drain(
        self, slot: Slot, req: Received, machine: str, sent_at: float
    ) -> None:
        if slot.leaving_at is None or not slot.left_calmly:
            return
        late = self._reactor.seconds() - slot.leaving_at - DRAIN_S
        if late > _SLACK_S and self._touched(machine, sent_at - _SLACK_S):
            detail = f"{late:.2f} s after {slot.endpoint.instance} left"
            self._history.broken("DRAIN", detail, req.request_id)

    def _poisoned(
        self, slot: Slot, req: Received, machine: str, name: bytes, allowed: int
    ) -> None:
        """Ends an endpoint that has begun a poison request."""
        record = self.poisoned.setdefault(name, PoisonRecord(allowed=allowed))
        known_from = record.known_from
        late = self._reactor.seconds() > known_from + _SLACK_S
        if late and self._touched(machine, known_from):
            record.late += 1
        if record.too_late:
            detail = f"sent on after {len(record.ended)} endpoints had ended"
            self._history.broken("BUDGET", detail, req.request_id)
        self._reactor.callLater(
            _BEGUN_S, self._end_under, slot, slot.endpoint, req, record
        )

    def _end_under(
        self, slot: Slot, endpoint, req: Received, record: PoisonRecord
    ) -> None:
        waits = any(conn.current is req for conn in endpoint.open)
        if slot.endpoint is not endpoint or not waits:
            return
        now = self._reactor.seconds()
        record.ended.append(now)
        slot.faulty_until = now + _FAULTY_S
        self.crash(slot)
        self._reactor.callLater(_BACK_S, self._revive_after, slot)

    def _revive_after(self, slot: Slot) -> None:
        if slot.endpoint is None:
            self.revive(slot)

    def _check_walls(self, engine: Engine, req: Received) -> None:
        """Checks that one salt never serves two teams or two versions."""
        salt = req.headers.get("x-cache-salt", "")
        team = req.headers.get("x-tenant-id", "")
        wall = team if team == "team-b" else ""
        expected = req.headers.get("x-expect-version", "")
        if salt.startswith("?") and not expected:
            return
        found = self.walls.setdefault(salt, (wall, int(expected or 0)))
        if found != (wall, int(expected or 0)):
            detail = f"salt {salt!r}: {found} and {(wall, expected)}"
            self._history.broken("WALL", detail, req.request_id)

    def _list(self, slot: Slot) -> None:
        weights = [{"name": "m", "version": self.weights}]
        slot.row = {
            "service": slot.service,
            "address": f"{slot.address[0]}:{slot.address[1]}",
            "zone": slot.zone,
            "version": getattr(slot.endpoint, "software", "v1"),
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "models": weights if slot.service == "llm" else [],
        }
        if self.zones.has_begun:
            self._turn_cold(slot)
        self.relist(slot)

    def relist(self, slot: Slot) -> None:
        """Writes an endpoint's entry as it is now, if it has one."""
        if not slot.listed:
            return
        endpoint = slot.endpoint
        slot.row["born"] = endpoint.born_ms
        if isinstance(endpoint, Engine):
            weights = {"name": "m", "version": endpoint.version}
            slot.row["models"] = [weights]
        self.write(f"servers/{endpoint.instance}", slot.row)

    def _born_ms(self) -> int:
        return int(self._reactor.seconds() * 1000)

    def _listen(self, factory) -> tuple[str, int]:
        port = self._reactor.listenTCP(0, factory, interface="127.0.0.1")
        self._ports.append(port)
        return "127.0.0.1", port.getHost().port

    def _proxied(self, number: int, factory) -> tuple[str, int]:
        self.part_proxy = Proxy(self._reactor, self._listen(factory))
        address = self._block.endpoint(number)
        self.listen(self.part_proxy, address)
        return address
