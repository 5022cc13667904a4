"""One soak from its start to its report."""

import pathlib
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

import msgspec

from magnolialug.carrier.client import Client as Asker
from magnolialug.quarantine.quarantinelist import (
    QUARANTINE_KEYS,
    read_quarantine,
)
from magnolialug.result import Failure
from magnolialug.soak.block import Block
from magnolialug.soak.clients import Client, Front
from magnolialug.soak.faults import FAULTS
from magnolialug.soak.flood import Flood
from magnolialug.soak.frontreadiness import READY_INTERVAL_S, ask_fronts
from magnolialug.soak.historychecker import HistoryChecker, Sent, Violation
from magnolialug.soak.longprompts import LONG_CLIENTS, LongPrompts
from magnolialug.soak.machine import CONTACT_S, Machine
from magnolialug.soak.plan import kinds_of, plan
from magnolialug.soak.poison import PART_MARK
from magnolialug.soak.probes import Probes
from magnolialug.soak.proxy import Path, Proxy
from magnolialug.soak.slot import Slot
from magnolialug.soak.unserved import describe_unserved
from magnolialug.soak.world import EVENTS, World
from magnolialug.standin.modelserver import ModelServerStandin

__all__ = ["Plan", "Report", "Soak"]

_LOOK_S = 0.1
# A machine that has not begun to serve by then never will.
_START_S = 15.0
# The rules give twelve seconds to serve again, and to have all weights in
# slot; three of them are measured.
_RECOVERY_S = 9.0
_MEASURED_S = 3.0
_SERVED_SHARE = 0.9
_SPARE_S = 5.0
# The share of pauses in which callers leave their connections idle for long.
_IDLE_SHARE = 0.03
# What an endpoint held when it started again may fail for this long.
_RESTART_FAULTY_S = 8.0
# Faults that only a stream of some length meets.
_SLOW_STREAM_KINDS = frozenset(("release_software", "silence_endpoints"))
_LONG_PROMPT_KINDS = frozenset(
    ("wave_of_long_prompts", "slow_engine", "slow_spells")
)
# A request that was read and not passed on must be answered by then.
_LOSS_S = 0.2


class Plan(msgspec.Struct, frozen=True):
    """What a run consists of.

    Attributes:
      seconds: for how long faults begin.
      program: the command that runs a gateway.
      folder: takes settings and logs.
      only: the kinds of fault to choose from, none for all.
    """

    seed: int
    seconds: float
    machines: int
    clients: int
    program: tuple[str, ...]
    folder: pathlib.Path
    only: tuple[str, ...] = ()


class Report(msgspec.Struct, frozen=True):
    """What came of a run."""

    seed: int
    requests: int
    outcomes: dict[str, int]
    faults: dict[str, int]
    violations: Sequence[Violation]


class Soak:
    """Runs machines, callers and faults, and watches the promises.

    Attributes:
      asker: sends single requests.
      poisoned_until: when the newest poison request comes no more.
      releasing_until: when the newest release of software has ended.
      restarting_until: when the newest restarts of several endpoints are over.
      catching_up_until: when machines have read what lost calls asked for.
      idle_limit_changing_until: when the newest change of the limit of idle
        connections is over.
      flood: sends most new connections to one machine.
      long_prompts: sends waves of long prompts.
      random: decides everything that is decided by chance.

    Args:
      done: gets the report.
    """

    def __init__(self, reactor, planned: Plan, done: Callable[[Report], None]):
        self.random = Random(planned.seed)
        self.poisoned_until = 0.0
        self.catching_up_until = 0.0
        self.idle_limit_changing_until = 0.0
        self.releasing_until = 0.0
        self.restarting_until = 0.0
        self._reactor = reactor
        self._plan = planned
        self._done = done
        self._ids = iter(range(1, 1_000_000_000))
        self._counts: Counter[str] = Counter()
        self._timers: list = []
        self.asker = Asker(reactor)
        self._block = Block()
        self.history = HistoryChecker(reactor.seconds, EVENTS)
        self._kinds = planned.only or kinds_of(planned.seed)
        self._has_idle_callers = "change_idle_limit" in self._kinds
        has_long_prompts = not _LONG_PROMPT_KINDS.isdisjoint(self._kinds)
        self.world = World(
            reactor,
            self._block,
            self.history,
            self.touched,
            self.halted,
            cold_starts="evacuate_zone" in self._kinds,
            slow_streams=not _SLOW_STREAM_KINDS.isdisjoint(self._kinds),
            long_prompts=has_long_prompts,
        )
        self.machines = [self._machine(n) for n in range(planned.machines)]
        self.kv_proxies = [
            self._proxy(self.world.kv_address, self._block.store(m.number))
            for m in self.machines
        ]
        self.fronts = [self._front(m) for m in self.machines]
        self.clients = [self._client() for _ in range(planned.clients)]
        self.flood = Flood(self)
        long_clients = LONG_CLIENTS if has_long_prompts else 0
        self.long_prompts = LongPrompts(
            [self._client() for _ in range(long_clients)],
            reactor.seconds,
            self.later,
            self._is_calm,
            self.history.broken,
        )
        self._probes = Probes(self, self.asker, self._block)

    @property
    def now(self) -> float:
        """Seconds on the clock that all checks go by."""
        return self._reactor.seconds()

    def start(self) -> None:
        """Starts everything."""
        for machine in self.machines:
            machine.disturb()
            machine.start()
        self._every(_LOOK_S, self._look)
        self._every(READY_INTERVAL_S, self._ask_ready)
        whole_s = _START_S + self._plan.seconds + _RECOVERY_S + _MEASURED_S
        self.later(whole_s + _SPARE_S, self._overdue)
        self._await_ready(self.now + _START_S)

    def later(self, seconds: float, call: Callable, *args: object) -> None:
        """Calls something later, unless the run has ended by then."""
        self._timers.append(self._reactor.callLater(seconds, call, *args))

    def touched(self, machine: str, since: float) -> bool:
        """Whether a machine and the store have been calm from then on."""
        rows = [m for m in self.machines if m.name == machine]
        calm = self.world.store_disturbed_until + CONTACT_S < since
        return calm and bool(rows) and rows[0].in_touch(since)

    def halted(self, machine: str, since: float) -> bool:
        """Whether a machine has started or stood still since then."""
        rows = [m for m in self.machines if m.name == machine]
        return bool(rows) and rows[0].halted_at >= since

    def some_machine(self) -> Machine:
        """Returns a machine by chance."""
        return self.random.choice(self.machines)

    def some_slot(self) -> Slot:
        """Returns an endpoint that is up, by chance."""
        up = [p for p in self.world.slots if p.endpoint is not None]
        return self.random.choice(up)

    @property
    def engines(self) -> list[ModelServerStandin]:
        """The engines that are up."""
        return [slot.endpoint for slot in self.world.runs_of("llm")]

    def _is_calm(self) -> bool:
        """Whether no machine and no endpoint has had a fault just now."""
        calm = all(self.touched(m.name, self.now) for m in self.machines)
        return calm and all(
            slot.endpoint is not None
            and max(slot.faulty_until, slot.silent_until) < self.now
            and not slot.endpoint.refuses
            and not slot.endpoint.faults
            and slot.endpoint.send_limit is None
            and slot.leaving_at is None
            and not self.world.zones.evacuated(slot.zone)
            for slot in self.world.slots
        )

    def reopen(self, slot: Slot) -> None:
        """Opens the way to an endpoint, unless it is down."""
        if slot.endpoint is not None:
            slot.proxy.opens(Path.OPEN)

    def relist(self, slot: Slot, endpoint) -> None:
        """Lists an endpoint again that lapsed, if it still lives."""
        if slot.endpoint is endpoint:
            self.world.relist(slot)

    def change_limit(self, slot: Slot, endpoint, rate: float) -> None:
        """Changes the limit of an endpoint, if it still lives."""
        if slot.endpoint is endpoint:
            self.world.limit(slot, rate)

    def replace(self, slot: Slot, endpoint) -> None:
        """Ends an endpoint that has drained, and starts another."""
        if slot.endpoint is endpoint:
            slot.faulty_until = self.now + 4.0
            self.world.remove(f"servers/{endpoint.instance}")
            self.world.crash(slot)
            self.later(0.2, self.world.revive, slot)

    def restart(self, slot: Slot) -> None:
        """Ends an endpoint and starts another at its address at once."""
        if slot.endpoint is not None:
            slot.faulty_until = self.now + _RESTART_FAULTY_S
            self.world.crash(slot)
            self.world.revive(slot)

    def start_anew(self, slot: Slot, endpoint) -> None:
        """Starts an endpoint again under its id, if it still lives."""
        if slot.endpoint is endpoint:
            slot.faulty_until = self.now + _RESTART_FAULTY_S
            self.world.start_again(slot)

    def new_id(self) -> str:
        """Returns a fresh request id."""
        return f"{self._plan.seed:x}-{next(self._ids):x}"

    def _machine(self, number: int) -> Machine:
        return Machine(
            number,
            self._block,
            self._reactor,
            self._plan.program,
            self._plan.folder,
            self.history.broken,
        )

    def _proxy(self, target, address) -> Proxy:
        proxy = Proxy(self._reactor, target)
        self.world.listen(proxy, address)
        return proxy

    def _front(self, machine: Machine) -> Front:
        address = self._block.front(machine.number)
        target = self._block.callers(machine.number)
        return Front(machine, self._proxy(target, address), address)

    def _client(self) -> Client:
        client = Client(
            self._reactor,
            Random(self.random.random()),
            self.history,
            self.new_id,
            self._choose,
            self._lost,
            self._passed_on,
        )
        if self._has_idle_callers:
            client.idle_share = _IDLE_SHARE
            client.reliable_idle_s = lambda: self.world.idle_limits.reliable_s
        client.resumes = "release_software" in self._kinds
        return client

    def _passed_on(self, instance: str, row: Sent) -> None:
        self.world.limits.answered(instance, row.machine)
        self.world.leaving.answered(instance, row)

    def _choose(self) -> Front:
        flooded = self.flood.choose()
        if flooded is not None:
            return flooded
        ready = [front for front in self.fronts if front.ready]
        return self.random.choice(ready or self.fronts)

    def _every(self, seconds: float, call: Callable[[], None]) -> None:
        call()
        self.later(seconds, self._every, seconds, call)

    def _look(self) -> None:
        for machine in self.machines:
            machine.look()
        self.long_prompts.look()
        self._timers = [timer for timer in self._timers if timer.active()]

    def _ask_ready(self) -> None:
        ask_fronts(self.asker, self._block, self.fronts)

    def _await_ready(self, limit: float) -> None:
        if all(front.ready for front in self.fronts):
            self._begin()
        elif self.now > limit:
            self.history.broken("START", "machines are not ready")
            self._finish()
        else:
            self.later(_LOOK_S, self._await_ready, limit)

    def _begin(self) -> None:
        for client in [*self.clients, *self.long_prompts.clients]:
            client.start()
        self._probes.start()
        planned = self._plan
        self.world.zones.has_begun = True
        for at, name in plan(self.random, planned.seconds, self._kinds):
            self.later(at, self._inject, name)
        self.later(self._plan.seconds, self._heal)

    def _inject(self, name: str) -> None:
        self._counts[name] += 1
        FAULTS[name](self)

    def _heal(self) -> None:
        """Ends what would not end by itself."""
        world = self.world
        world.kv.faults = type(world.kv.faults)()
        for zone in "ab":
            if world.zones.evacuated(zone):
                world.take_back(zone)
        for proxy in [*self.kv_proxies, *(f.proxy for f in self.fronts)]:
            proxy.delay_s = 0.0
            proxy.opens(Path.OPEN)
        for slot in world.slots:
            slot.proxy.delay_s = 0.0
            if slot.endpoint is not None:
                slot.proxy.opens(Path.OPEN)
                slot.endpoint.faults.clear()
                world.end_limit(slot.endpoint)
        for slot in world.runs_of("llm"):
            slot.endpoint.late_orders.clear()
        for machine in self.machines:
            machine.resume()
        self.later(_RECOVERY_S, self._measure, self.now + _RECOVERY_S)

    def _measure(self, since: float) -> None:
        self.later(_MEASURED_S, self._check_recovery, since)

    def _check_recovery(self, since: float) -> None:
        rows = [
            row
            for row in self.history.sent.values()
            if since <= row.at < self.now - 1.0 and not row.is_rightly_denied
        ]
        unserved = [row for row in rows if not row.is_served]
        served = len(rows) - len(unserved)
        if served < _SERVED_SHARE * len(rows) or not rows:
            detail = f"{served} of {len(rows)} served"
            if unserved:
                detail += "; not: " + describe_unserved(unserved)
            self.history.broken("RECOVER", detail)
        if self.long_prompts.clients:
            rows = self.history.sent.values()
            self.long_prompts.check(rows, self.history.outcomes)
        self._check_engines()
        self._check_quarantine()
        self._finish()

    def _check_engines(self) -> None:
        newest = self.world.weights
        for slot in self.world.runs_of("llm"):
            engine = slot.endpoint
            if engine.version != newest:
                detail = f"{engine.instance}: {engine.version} for {newest}"
                self.history.broken("VERSION", detail)
            holders: dict[int, str] = {}
            for order in engine.orders:
                fence, holder = order["fencingToken"], order["holder"]
                if holders.setdefault(fence, holder) != holder:
                    self.history.broken("ONE", f"fence {fence}: {holder}")

    def _lost(self, row: Sent, answer, is_first: bool) -> None:
        """Judges a connection that ended before its answer.

        Args:
          is_first: whether it was the first request on its connection.
        """
        broken_off = answer.status and row.form.streams
        faulty = any(
            slot.faulty_until > row.at
            for slot in self.world.slots
            if slot.service == row.form.service
        )
        if is_first and self.flood.turns_away(row, answer):
            # Its caller tries again. Had it been read, it would reach an
            # endpoint as a request that nobody sent.
            self.history.sent.pop(row.request_id)
            self.history.outcomes["turned away"] += 1
            return
        if self._has_idle_callers and not is_first:
            self._check_kept(row, answer)
        unpassed = not row.arrivals and self.now - row.at < _LOSS_S
        if unpassed or not self.touched(row.machine, row.at):
            return
        if not (broken_off and faulty):
            detail = (
                f"at {row.machine}, status {answer.status},"
                f" {self.now - row.at:.3f} s, reached {row.arrivals}"
            )
            self.history.broken("LOST", detail, row.request_id)

    def _check_kept(self, row: Sent, answer) -> None:
        """Checks that a kept connection is not closed on a whole request."""
        machine = next(m for m in self.machines if m.name == row.machine)
        unread = not row.arrivals and self.now - row.at < _LOSS_S
        if answer.status or not unread or not machine.keeps_connections(row.at):
            return
        idle_s = row.at - row.idle_since
        detail = f"at {row.machine}, kept connection closed, idle {idle_s:.2f}"
        self.history.broken("LOST", detail, row.request_id)

    def _overdue(self) -> None:
        self.history.broken("SOAK", "the run itself did not end in time")
        self._finish()

    def close(self) -> None:
        """Ends all processes, also of a run that was broken off."""
        for machine in self.machines:
            machine.close()

    def _check_quarantine(self) -> None:
        """Checks that no part is quarantined but those that crash engines."""
        for entry in self.world.stored(QUARANTINE_KEYS):
            value = read_quarantine(entry)
            if isinstance(value, Failure):
                continue
            parts = value.pattern.parts if value.pattern else ()
            if parts and not any(part.startswith(PART_MARK) for part in parts):
                self.history.broken("SOUND", f"quarantined: {value}")

    def _finish(self) -> None:
        for client in [*self.clients, *self.long_prompts.clients]:
            client.stop()
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self.close()
        self.history.finish()
        self.world.close()
        self._block.release()
        self._done(
            Report(
                self._plan.seed,
                len(self.history.sent),
                dict(sorted(self.history.outcomes.items())),
                dict(sorted(self._counts.items())),
                tuple(self.history.violations),
            )
        )
