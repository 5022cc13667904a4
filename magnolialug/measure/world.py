"""One run of a workload under one policy, in virtual time.

Entries decide with the same functions as the programs do; engines, stores
and links are fakes.
"""

from random import Random

import msgspec

from magnolialug.measure.actors import (
    RATE,
    SLOTS,
    Entry,
    Sidecar,
    Ticket,
)
from magnolialug.measure.choosers import Policy
from magnolialug.measure.fakes import TOKEN_BYTES, Loop, Store
from magnolialug.measure.keeper import Keeper
from magnolialug.measure.workload import Req, Workload
from magnolialug.policy.attemptqueue import AttemptTraits
from magnolialug.policy.cacheestimates import (
    EngineCacheEstimate,
    StoreCacheEstimate,
)
from magnolialug.policy.linkestimator import import_is_cheaper
from magnolialug.policy.load import (
    clear_unreported,
    merge_tokens,
)
from magnolialug.policy.placement import Weights
from magnolialug.policy.retry import Ending, may_retry
from magnolialug.policy.ring import Ring
from magnolialug.policy.slots import in_time, usable_slots
from magnolialug.policy.storedblock import StoredBlock, Tier
from magnolialug.result import Code, Executed, Failure, failed

__all__ = ["World"]

LATENCY_S = 0.001
_ENTRIES = 3
_HEARTBEAT_S = 1.0
_LOST_S = 1.0
_LEAVE_S = 3.0
_ROOM = {Tier.MEMORY: 60 * 10**9, Tier.DISK: 400 * 10**9}


class World:
    """Everything of one run."""

    def __init__(
        self,
        workload: Workload,
        policy: Policy,
        seed: int,
    ):
        self.loop = Loop()
        self.workload = workload
        self.weights = Weights(*workload.weights)
        self.configured_rates = dict(RATE)
        self.version = "v1"
        self.policy = policy
        names = [f"endpoint-{n + 1}" for n in range(workload.engines)]
        self.sidecars = {n: Sidecar(self, n, workload) for n in names}
        self.stores = [Store(self.loop, dict(_ROOM), RATE) for _ in range(2)]
        for store in self.stores:
            store.unqueued = policy.bound
        self.entries = [
            Entry(names, workload, seed * 10 + n) for n in range(_ENTRIES)
        ]
        self.tickets: list[Ticket] = []
        self.violations: dict[str, int] = {}
        self._store_ring = Ring(["0", "1"])
        self._keeper = Keeper(policy.keep, workload, Random(seed))
        self._balance = Random(seed + 1)
        self._beating = False
        self.moved_warm = dict.fromkeys(Tier, 0)
        self.loop.at(workload.warm_s, self._warmed)

    def _warmed(self) -> None:
        for store in self.stores:
            for tier in Tier:
                self.moved_warm[tier] += store.moved[tier]

    def run(self) -> None:
        """Serves the whole workload."""
        for req in self.workload.reqs:
            self.loop.at(req.at, self._arrive, req)
        self.loop.run()

    def violation(self, promise: str) -> None:
        """Counts a broken promise."""
        self.violations[promise] = self.violations.get(promise, 0) + 1

    def store_of(self, root: str) -> Store:
        """Returns the store that holds a prompt, if any does."""
        return self.stores[int(self._store_ring.candidates(root, 1)[0])]

    def true_cost(self, name: str, ticket: Ticket) -> float:
        """Returns the cost of an endpoint by its true state."""
        sidecar = self.sidecars[name]
        engine = sidecar.engine
        priority = ticket.req.shape.priority
        waiting = merge_tokens(
            sidecar.lineup.tokens_by_priority(), engine.waiting()
        )
        ahead = sum(waiting[: priority + 1])
        taken = len(sidecar.running)
        if priority > 0:
            taken += len(sidecar.lineup)
        over = max(0, taken - usable_slots(SLOTS, priority) + 1)
        queue_s = ahead / engine.rate + over * sidecar.run_s / SLOTS
        held = engine.cached(ticket.root)
        row = self.store_of(ticket.root).find(ticket.root)
        read_s, size = 0.0, 0
        if row and _tokens(row) > held:
            size = (_tokens(row) - held) * TOKEN_BYTES
            store = self.store_of(ticket.root)
            read_s = store.wait_s(row.tier) + size / store.rate[row.tier]
            saved = _tokens(row) - held
            if import_is_cheaper(
                saved, size, read_s, engine.rate, self.weights
            ):
                held = _tokens(row)
            else:
                read_s, size = 0.0, 0
        left = max(0, ticket.req.tokens - held)
        ttft_s = queue_s + read_s + left / engine.rate
        cost = self.weights.ttft * ttft_s
        cost += self.weights.recompute * left / 1e3
        return cost + self.weights.link * size / 1e9

    # Entries.

    def _arrive(self, req: Req) -> None:
        entry = self._balance.choice(self.entries)
        entry.budget.deposit("")
        ticket = Ticket(
            req,
            f"{req.root}@{self.version}",
            entry,
            req.at + req.shape.wait_s,
        )
        self.tickets.append(ticket)
        self._route(ticket)

    def _route(self, ticket: Ticket) -> None:
        name = self.policy.choose(self, ticket.entry, ticket)
        if isinstance(name, Failure):
            self._final(ticket, name)
            return
        self.loop.after(LATENCY_S, self._offer, self.sidecars[name], ticket)

    def ended(
        self, sidecar: Sidecar, ticket: Ticket, ending: Ending, why: Failure
    ) -> None:
        """Tries again, or gives the caller its final word."""
        ticket.avoid.add(sidecar.name)
        refusal = may_retry(
            ending,
            True,
            ticket.deadline - self.loop.now,
            ticket.first_at is not None,
            ticket.entry.budget,
        )
        if refusal:
            self._final(ticket, why)
            return
        pause = ticket.backoff.next(ticket.entry.random)
        self.loop.after(pause, self._route, ticket)

    def _final(self, ticket: Ticket, why: Failure) -> None:
        ticket.ended += 1
        executed = Executed.UNKNOWN if ticket.started else why.executed
        ticket.refusal = msgspec.structs.replace(why, executed=executed)

    # Sidecars.

    def _offer(self, sidecar: Sidecar, ticket: Ticket) -> None:
        now = self.loop.now
        if sidecar.deaf_until > now:
            self.loop.at(sidecar.deaf_until, self._offer, sidecar, ticket)
            return
        if not sidecar.alive:
            for entry in self.entries:
                entry.members.down(sidecar.name)
            why = failed(Code.CONNECTION_REFUSED)
            self.ended(sidecar, ticket, Ending.NOT_RUN, why)
            return
        why = self._why_not(sidecar, ticket)
        if why:
            self.ended(sidecar, ticket, Ending.NOT_RUN, why)
            return
        req = ticket.req
        claimant = AttemptTraits(req.team, req.tokens, req.shape.priority, 1.0)
        sidecar.lineup.push(ticket, claimant)
        self.loop.at(ticket.deadline, self._overdue, sidecar, ticket)
        self._pump(sidecar)
        self._beat()

    def _why_not(self, sidecar: Sidecar, ticket: Ticket) -> Failure | None:
        if sidecar.draining_since is not None:
            ticket.entry.members.leaving(sidecar.name)
            return failed(Code.DRAINING)
        if sidecar.lineup.full():
            return failed(Code.QUEUE_FULL)
        ahead = sidecar.lineup.tokens_before(ticket.req.shape.priority)
        if ahead / sidecar.engine.rate > ticket.deadline - self.loop.now:
            return failed(Code.WAIT_EXCEEDED)
        return None

    def _overdue(self, sidecar: Sidecar, ticket: Ticket) -> None:
        if sidecar.lineup.remove(ticket):
            why = failed(Code.WAIT_EXCEEDED)
            self.ended(sidecar, ticket, Ending.NOT_RUN, why)

    def _pump(self, sidecar: Sidecar) -> None:
        if not sidecar.alive:
            return
        while (ticket := sidecar.lineup.next_to_run()) is not None:
            self._enter(sidecar, ticket)
        while (ticket := sidecar.lineup.next_to_fetch()) is not None:
            self._fetch(sidecar, ticket)

    def _enter(self, sidecar: Sidecar, ticket: Ticket) -> None:
        if self._in_time(sidecar, ticket):
            sidecar.running[ticket.req.number] = ticket
            self._start(sidecar, ticket)
            return
        sidecar.lineup.ended()
        why = failed(Code.WAIT_EXCEEDED)
        self.ended(sidecar, ticket, Ending.NOT_RUN, why)

    def _fetch(self, sidecar: Sidecar, ticket: Ticket) -> None:
        now = self.loop.now
        held = sidecar.engine.cached(ticket.root)
        store = self.store_of(ticket.root)
        row = store.find(ticket.root)
        if row is None or _tokens(row) <= held:
            self._fetched(sidecar, ticket)
            return
        size = (_tokens(row) - held) * TOKEN_BYTES
        if not self._pays(sidecar, store, row.tier, size):
            self._fetched(sidecar, ticket)
            return
        through = store.transfer(row.tier, size)
        self._keeper.read(store, row, now)
        self.loop.at(through, self._imported, sidecar, ticket, row, size, now)

    def _imported(
        self,
        sidecar: Sidecar,
        ticket: Ticket,
        row: StoredBlock,
        size: int,
        started: float,
    ) -> None:
        now = self.loop.now
        sidecar.links.observe(row.tier, size, now - started, now)
        lost = self.store_of(ticket.root).find(ticket.root) is None
        if not lost and sidecar.alive:
            sidecar.engine.insert(ticket.root, _tokens(row))
        self._fetched(sidecar, ticket)

    def _fetched(self, sidecar: Sidecar, ticket: Ticket) -> None:
        sidecar.lineup.fetched(ticket)
        self._pump(sidecar)

    def _in_time(self, sidecar: Sidecar, ticket: Ticket) -> bool:
        engine = sidecar.engine
        waiting = merge_tokens((), engine.waiting())
        before = sum(waiting[: ticket.req.shape.priority + 1])
        before += max(0, ticket.req.tokens - engine.cached(ticket.root))
        return in_time(self.loop.now, ticket.deadline, before, engine.rate)

    def _start(self, sidecar: Sidecar, ticket: Ticket) -> None:
        now = self.loop.now
        since = sidecar.draining_since
        if since is not None and now > since + _LEAVE_S:
            self.violation("new work after leaving")
        if ticket.ended:
            self.violation("ran after its final word")
        ticket.started = True
        held = sidecar.engine.cached(ticket.root)
        self._prefill(sidecar, ticket, held, now)

    def _pays(
        self, sidecar: Sidecar, store: Store, tier: Tier, size: int
    ) -> bool:
        if not self.policy.weighs_reads:
            return True
        read_s = sidecar.links.expected_read_s(tier, size, self.loop.now)
        if self.policy.bound:
            read_s = size / store.rate[tier]
        return import_is_cheaper(
            size // TOKEN_BYTES,
            size,
            read_s,
            sidecar.engine.rate,
            self.weights,
        )

    def _prefill(
        self, sidecar: Sidecar, ticket: Ticket, held: int, started: float
    ) -> None:
        left = max(1, ticket.req.tokens - held)
        ticket.recomputed += left
        sidecar.engine.prefill(
            left,
            ticket.req.shape.priority,
            lambda: self._first(sidecar, ticket, started),
        )

    def _first(self, sidecar: Sidecar, ticket: Ticket, started: float) -> None:
        if sidecar.running.get(ticket.req.number) is not ticket:
            return
        if ticket.first_at is None:
            ticket.first_at = self.loop.now + LATENCY_S
        sidecar.engine.insert(ticket.root, ticket.req.tokens)
        decode_s = ticket.req.shape.output * self.workload.piece_s
        self.loop.after(decode_s, self._done, sidecar, ticket, started)

    def _done(self, sidecar: Sidecar, ticket: Ticket, started: float) -> None:
        if sidecar.running.pop(ticket.req.number, None) is not ticket:
            return
        now = self.loop.now
        sidecar.run_s += 0.2 * (now - started - sidecar.run_s)
        ticket.ended += 1
        if ticket.ended > 1:
            self.violation("doubled answer")
        sidecar.engine.insert(ticket.root, ticket.req.tokens)
        self._keeper.keep(
            self.store_of(ticket.root),
            ticket.req,
            ticket.root,
            now,
            sidecar.engine.rate,
        )
        self._learned(sidecar, ticket)
        sidecar.lineup.ended()
        self._pump(sidecar)

    def _learned(self, sidecar: Sidecar, ticket: Ticket) -> None:
        entry = ticket.entry
        self.tell_status(entry, sidecar)
        belief = EngineCacheEstimate(
            ticket.req.tokens,
            sidecar.engine.filled,
            entry.views[sidecar.name].epoch,
        )
        entry.cache_estimates.record_engine(ticket.root, sidecar.name, belief)
        row = self.store_of(ticket.root).find(ticket.root)
        stored = None
        if row:
            stored = StoreCacheEstimate(_tokens(row), row.tier is Tier.MEMORY)
        entry.cache_estimates.record_store(ticket.root, stored)

    # Heartbeats, while anything is under way.

    def _beat(self) -> None:
        if not self._beating:
            self._beating = True
            self.loop.after(_HEARTBEAT_S, self._tick)

    def _tick(self) -> None:
        self._beating = False
        for sidecar in self.sidecars.values():
            for entry in self.entries:
                self.tell_status(entry, sidecar)
        if any(s.running or len(s.lineup) for s in self.sidecars.values()):
            self._beat()

    def tell_status(self, entry: Entry, sidecar: Sidecar) -> None:
        """Brings a sidecar's status to an entry."""
        view = entry.views[sidecar.name]
        if sidecar.deaf_until > self.loop.now:
            return
        if not sidecar.alive:
            entry.members.down(sidecar.name)
            return
        if sidecar.draining_since is not None:
            entry.members.leaving(sidecar.name)
        else:
            entry.members.up(sidecar.name, self.loop.now)
        view.running = len(sidecar.running)
        view.queued = len(sidecar.lineup)
        view.queued_by_priority = merge_tokens(
            sidecar.lineup.tokens_by_priority(), sidecar.engine.waiting()
        )
        view.prefill_rate = sidecar.engine.rate
        view.run_s = sidecar.run_s
        view.filled = sidecar.engine.filled
        clear_unreported(view)


def _tokens(row: StoredBlock) -> int:
    return row.length // TOKEN_BYTES
