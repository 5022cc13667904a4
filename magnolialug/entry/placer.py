"""Chooses the endpoint for each attempt of a forwarded call."""

from collections.abc import Callable, Mapping

import msgspec

from magnolialug.entry.directory import Directory
from magnolialug.entry.dispatch import FROM_ENGINE, Dispatch
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.progress import Progress
from magnolialug.ids import EndpointId, ServiceName, ZoneId
from magnolialug.platform.requests import Answer
from magnolialug.policy.cachemap import CacheMap, Miss, PartPlan
from magnolialug.policy.choice import Candidate, choose
from magnolialug.policy.enginecost import engine_cost_s
from magnolialug.policy.prompt import Prompt
from magnolialug.policy.salt import salt_of
from magnolialug.policy.sharedload import Placement
from magnolialug.policy.weightbounds import WeightBounds
from magnolialug.result import Code, Failure, failed

__all__ = ["Placed", "Placer"]

# What a hop to another zone costs, in seconds of waiting. Bytes between zones
# are paid for: 16 KB of a long prompt cost up to 4% of what its answer is
# worth there. Tried: 4, 15, 30 and 60 ms; 30 ms and more gain 0.4% where they
# are dear and lose nothing where they are cheap.
_OTHER_ZONE_S = 0.03
# Work at a plain service that is expected of each request before its answers
# have told; only the comparison between endpoints matters.
_PLAIN_WORK_S = 0.05
# Endpoints compared for each request, where there are more.
_FIRST_COMPARED = 24
_TARGETS = 1.5
_LEAST_PATIENCE_S = 0.1
# A prompt may begin this much later than expected and still be in time on
# weights that will soon be barred: about what the queues here are misjudged by.
_BEGIN_MARGIN_S = 0.5


# What must be left free beside a large prompt: short and urgent ones come at
# any moment, and answers grow. Mean worth of the heaviest day here, six seeds:
# 0.659 with 5% and 0.646 with 15%; of a day of changes, 0.679 and 0.670.
_HEADROOM = 0.05
# Nor does a large prompt go where reading what is ahead takes more than this
# share of its target. It can still go elsewhere while it waits here: an engine
# that had just come back got 28 prompts at once, and read for 3 s. Mean worth
# of three heavy days: 0.654, 0.689, 0.632 without, 0.663, 0.695, 0.634 with.
_AHEAD_SHARE = 0.25


class Placed(msgspec.Struct, frozen=True):
    """A choice, what to tell the endpoint, and what it was compared with.

    Attributes:
      unread: prompt tokens that the endpoint is expected to read.
      patience_s: how long it may stay without an answer.
    """

    peer: Peer
    dispatch: Dispatch
    unread: int
    patience_s: float
    compared: tuple[Candidate, ...]


class Placer:
    """Compares a service's endpoints by the expected cost of an answer.

    Args:
      zone: where this process runs.
      cache: what the stores of cache parts hold.
      stores: their addresses.
      newest: returns the newest version of a model that is known of.
      bounds: until when replaced weights may be used.
    """

    def __init__(
        self,
        directory: Directory,
        zone: ZoneId,
        clock: Callable[[], float],
        cache: CacheMap,
        stores: Mapping[ServiceName, str],
        newest: Callable[[str], int],
        bounds: WeightBounds,
    ):
        self._bounds = bounds
        self._directory = directory
        self._zone = zone
        self._cache = cache
        self._stores = stores
        self._newest = newest
        self._clock = clock
        self.on_change: Callable[[], None] = lambda: None
        self.on_placed: Callable[[Placement], None] = lambda placement: None

    def place(
        self, call: ForwardCall, progress: Progress, avoid: set[EndpointId]
    ) -> Placed | Failure:
        """Returns an endpoint and what to tell it.

        A failure NO_ENDPOINT says that nothing was sent.
        """
        candidates, best = self._best(call, avoid)
        if best is None and avoid and call.kind.idempotent:
            candidates, best = self._best(call, set())
        if best is None:
            return failed(Code.NO_ENDPOINT, retry_after_s=1.0)
        peer = self._directory.peers[best.endpoint]
        unread = self._unread(call, peer)
        dispatch = self._dispatch(call, peer, progress)
        patience_s = self.patience_s(call, best.cost)
        return Placed(peer, dispatch, unread, patience_s, tuple(candidates))

    def size(self, call: ForwardCall) -> float:
        """Returns the share of an engine's memory that a call takes."""
        memory = self._directory.engine_memory(call.service)
        if call.prompt is None or not memory:
            return 0.0
        return call.prompt.memory_tokens / memory

    def fits(self, call: ForwardCall) -> bool:
        """Whether the engine that a large call would go to has room for it."""
        _, best = self._best(call, set())
        load = self._directory.peers[best.endpoint].load if best else None
        if load is None or load.room(0) >= 1.0:
            return True
        if load.ahead_s(call.priority) > _AHEAD_SHARE * call.route.target_s:
            return False
        return load.room(call.prompt.memory_tokens) >= _HEADROOM

    def _best(
        self, call: ForwardCall, avoid: set[EndpointId]
    ) -> tuple[list[Candidate], Candidate | None]:
        """Compares a few endpoints, and more while none of them is sound.

        With thousands of endpoints comparing all of them would cost 15 ms a
        request. The first ones on the ring are the same at every entry, so
        a prompt still returns to where it was.
        """
        root = call.root or call.name
        count = _FIRST_COMPARED
        while True:
            peers = self._directory.shortlist(call.service, root, count)
            candidates = self._compare(call, peers, avoid)
            best = choose(candidates)
            found = best is not None and best.sound
            if found or len(peers) < count:
                return candidates, best
            count *= 4

    def _compare(
        self, call: ForwardCall, peers: list[Peer], avoid: set[EndpointId]
    ) -> list[Candidate]:
        now = self._clock()
        ranked = call.prompt is not None and bool(call.root)
        return [
            self._candidate(call, peer, rank if ranked else 0, now)
            for rank, peer in enumerate(peers)
            if peer.pool.room
            and peer.listed.endpoint not in avoid
            and not self._barred(call, peer, now)
        ]

    def _barred(self, call: ForwardCall, peer: Peer, now: float) -> bool:
        """Whether a prompt would begin on weights too old to be of use."""
        if call.prompt is None or peer.load is None:
            return False
        model = call.prompt.model
        until = self._bounds.usable_until(model, peer.least_weights(model))
        begins = now + peer.load.ahead_s(call.priority)
        return begins + _BEGIN_MARGIN_S > until

    def patience_s(self, call: ForwardCall, expected_s: float) -> float:
        """Returns how long an attempt may stay without an answer.

        An endpoint can hang on some requests while it answers others, and
        nothing but the time tells. After half as long again as the target,
        and twice what was expected, another endpoint is the better bet.
        """
        return max(
            _TARGETS * call.route.target_s, 2 * expected_s + _LEAST_PATIENCE_S
        )

    def sent(
        self,
        call: ForwardCall,
        peer: Peer,
        dispatch: Dispatch,
        unread: int,
        now: float,
    ) -> None:
        """Counts an attempt at its endpoint."""
        peer.running += 1
        if peer.health.streak:
            peer.health.probing = True
        if peer.load is not None and call.prompt is not None:
            peer.load.sent(
                call.name,
                dispatch.salt,
                call.prompt,
                unread,
                dispatch.priority,
                now,
            )
            self.on_placed(
                Placement(
                    dispatch.endpoint,
                    dispatch.salt,
                    call.prompt.shared,
                    peer.listed.born_ms,
                )
            )

    def first_event(self, call: ForwardCall, peer: Peer) -> None:
        """Learns that an attempt's prompt has been read."""
        if peer.load is not None:
            peer.load.first_event(call.name, self._clock())
            self.on_change()

    def over(self, call: ForwardCall, peer: Peer) -> None:
        """Counts an attempt out."""
        peer.running -= 1
        if peer.load is not None:
            peer.load.ended(call.name)
            self.on_change()

    def misdirected(
        self, call: ForwardCall, peer: Peer, to: Dispatch, answer: Answer
    ) -> None:
        """Learns that a belief about an endpoint was wrong.

        Either another endpoint has its address, or it has other weights
        than were asked for.
        """
        if answer.instance and answer.instance != to.endpoint:
            self._directory.found(peer, EndpointId(answer.instance))
        elif call.prompt is not None:
            peer.denied_weights(call.prompt.model, to.weights)

    def _candidate(
        self,
        call: ForwardCall,
        peer: Peer,
        rank: int,
        now: float,
    ) -> Candidate:
        cost = 0.0
        if peer.listed.zone != self._zone:
            cost += _OTHER_ZONE_S
        if peer.load is not None and call.prompt is not None:
            cost += self._engine_cost(call, peer, rank)
        else:
            cost += self._plain_cost(peer)
        cost *= peer.health.penalty
        return Candidate(peer.listed.endpoint, cost, peer.sound(now))

    def _engine_cost(self, call: ForwardCall, peer: Peer, rank: int) -> float:
        load = peer.load
        salt = self._salt(call, peer.weights(call.prompt.model))
        unread, fetch_s = self._reading(call.prompt, salt, peer)
        tokens = call.prompt.memory_tokens
        return engine_cost_s(load, call.priority, tokens, unread, fetch_s, rank)

    def _unread(self, call: ForwardCall, peer: Peer) -> int:
        if call.prompt is None or peer.load is None:
            return 0
        salt = self._salt(call, peer.weights(call.prompt.model))
        return self._reading(call.prompt, salt, peer)[0]

    def _reading(
        self, prompt: Prompt, salt: str, peer: Peer
    ) -> tuple[int, float]:
        """Returns the tokens to read and the time to fetch the others."""
        now = self._clock()
        held = 0
        fetch_s = 0.0
        for part in prompt.parts:
            if not peer.load.has(salt, part):
                holder = self._cache.holder((salt, part.name), now)
                if holder is None:
                    break
                book = self._cache.books[holder]
                fetch_s += book.fetch_s(part.tokens, peer.listed.zone)
            held += part.tokens
        return prompt.tokens_in - held, fetch_s

    def _plain_cost(self, peer: Peer) -> float:
        taken = peer.running * self._directory.entries
        over = max(0, taken + 1 - peer.listed.slots)
        return _PLAIN_WORK_S * (1 + over / peer.listed.slots) + taken * 0.001

    def _dispatch(
        self, call: ForwardCall, peer: Peer, progress: Progress
    ) -> Dispatch:
        endpoint = peer.listed.endpoint
        if call.prompt is None:
            return Dispatch(endpoint, resume_after=progress.seq)
        weights = peer.weights(call.prompt.model)
        salt = self._salt(call, weights)
        plans = self._plan_parts(call.prompt, salt, weights)
        fetch, save = self._addresses(call.prompt, plans)
        return Dispatch(
            endpoint=endpoint,
            salt=salt,
            weights=weights,
            priority=call.priority,
            resume_after=progress.seq,
            fetch=fetch,
            save=save,
            fetch_until_ms=self._fetch_until_ms(plans),
            sources=self._sources(call.prompt, salt, peer, plans),
        )

    def _plan_parts(
        self, prompt: Prompt, salt: str, weights: int
    ) -> list[PartPlan]:
        """Returns what to do with each shared part; nothing if none may be."""
        if not self._cache.books or not weights:
            return []
        now = self._clock()
        newest = weights >= self._newest(prompt.model)
        plans = self._cache.plan(salt, prompt.shared, now, newest)
        self._cache.saving(salt, prompt.shared, plans, now)
        return plans

    def _addresses(
        self, prompt: Prompt, plans: list[PartPlan]
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Returns where to fetch and where to save each part."""
        if not plans:
            return (), ()
        own = ("",) * (len(prompt.parts) - len(plans))
        fetch = tuple(self._address(plan.fetch) for plan in plans)
        save = tuple(self._address(plan.save) for plan in plans)
        return fetch + own, save + own

    def _fetch_until_ms(self, plans: list[PartPlan]) -> int:
        """Returns until when all fetches may last, 0 for none."""
        books = self._cache.books
        ends = (books[p.fetch].fetch_until_ms() for p in plans if p.fetch)
        return min(ends, default=0)

    def _sources(
        self, prompt: Prompt, salt: str, peer: Peer, plans: list[PartPlan]
    ) -> tuple[str, ...]:
        """Returns what each shared part is expected to come from."""
        found = []
        for number, part in enumerate(prompt.shared):
            plan = plans[number] if plans else PartPlan(miss=Miss.CLOSED)
            if peer.load is not None and peer.load.has(salt, part):
                found.append(FROM_ENGINE)
            else:
                found.append(plan.fetch or plan.miss.value)
        return tuple(found)

    def _address(self, store: ServiceName | None) -> str:
        return "" if store is None else self._stores.get(store, "")

    def _salt(self, call: ForwardCall, weights: int) -> str:
        """Returns the text under which cache is shared.

        Parts read under other weights, or by an isolated team, must never be
        found; the engine looks under the same salt only. While an engine's
        version is not known, a request shares with no other.
        """
        team = call.team if call.isolated else ""
        return salt_of(team, call.prompt.model, weights) or f"?{call.name}"
