"""Chooses the endpoint for each attempt of a forwarded call."""

from collections.abc import Callable

import msgspec

from magnolialug.entry.directory import Directory
from magnolialug.entry.dispatch import FROM_ENGINE, Dispatch
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.known import Known
from magnolialug.entry.peer import Peer
from magnolialug.entry.progress import Progress
from magnolialug.homes.keeper import HEADROOM
from magnolialug.homes.messages import AskedEndpoint
from magnolialug.homes.waits import Bid
from magnolialug.ids import EndpointId, ServiceName, ZoneId
from magnolialug.platform.requests import Answer
from magnolialug.policy.choice import Candidate, choose
from magnolialug.policy.enginecost import engine_cost_s
from magnolialug.policy.partplan import Miss, PartPlan, plan_of
from magnolialug.policy.prompt import Part, Prompt
from magnolialug.policy.salt import salt_of
from magnolialug.policy.sharedload import Placement
from magnolialug.policy.storebook import PartWord
from magnolialug.policy.storemap import StoreMap
from magnolialug.policy.turns import Waiting
from magnolialug.policy.turns import patience_s as caller_patience_s
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
# Endpoints of a plain service among which those of this availability zone are
# looked for.
_PLAIN = 24
_TARGETS = 1.5
_LEAST_PATIENCE_S = 0.1
# A prompt may begin this much later than expected and still be in time on
# weights that will soon be barred: about what the queues here are misjudged by.
_BEGIN_MARGIN_S = 0.5
# A prompt that has not had its turn this long before its caller leaves is
# refused, so that the caller can come back: on a busy engine its first event
# takes that long. Half of it lost 30 callers on a day of overload after their
# prompts had been read.
_MARGIN_S = 1.0

# Prompts that take less of an engine's memory never wait for it.
_LARGE_SHARE = 0.04
# Nor does a large prompt go where reading what is ahead takes more than this
# share of its target. It can still go elsewhere while it waits here: an engine
# that had just come back got 28 prompts at once, and read for 3 s. Mean worth
# of three heavy days: 0.654, 0.689, 0.632 without, 0.663, 0.695, 0.634 with.
_AHEAD_SHARE = 0.25
# A choice is good enough, and nobody else is asked about, where this much of
# the target at most is spent before a prompt's turn.
_CONTENT_SHARE = 0.15


class Placed(msgspec.Struct, frozen=True):
    """A choice, what to tell the endpoint, and what it was compared with.

    Attributes:
      unread: prompt tokens that the endpoint is expected to read.
      patience_s: how long it may stay without an answer.
      room: the free share of the engine's memory, without the request.
    """

    peer: Peer
    dispatch: Dispatch
    unread: int
    patience_s: float
    compared: tuple[Candidate, ...]
    room: float | None = None


class Placer:
    """Compares a service's endpoints by the expected cost of an answer.

    Args:
      zone: where this process runs.
      stores: the stores of cache parts.
      on_save: is told which parts a request asks to be saved, and where.
      newest: returns the newest version of a model that is known of.
      bounds: until when replaced weights may be used.
    """

    def __init__(
        self,
        directory: Directory,
        zone: ZoneId,
        clock: Callable[[], float],
        stores: StoreMap,
        on_save: Callable[[str, list[tuple[Part, ServiceName]]], None],
        newest: Callable[[str], int],
        bounds: WeightBounds,
    ):
        self._bounds = bounds
        self._directory = directory
        self._zone = zone
        self._stores = stores
        self._on_save = on_save
        self._newest = newest
        self._clock = clock
        self.on_sent: Callable[[EndpointId, Placement | None], None] = (
            lambda endpoint, placement: None
        )
        self.on_change: Callable[[EndpointId], None] = lambda endpoint: None

    def place(
        self,
        call: ForwardCall,
        progress: Progress,
        avoid: set[EndpointId],
        known: Known,
        turn: EndpointId | None = None,
    ) -> Placed | Failure:
        """Returns an endpoint and what to tell it.

        A failure NO_ENDPOINT says that nothing was sent.

        Args:
          known: what the homes of some endpoints have told.
          turn: the engine that has promised its memory, None for none.
        """
        candidates = self.compare(call, avoid, known)
        best = _promised(candidates, turn) or choose(candidates)
        if best is None and avoid and call.kind.idempotent:
            candidates = self.compare(call, set(), Known(known.count, {}))
            best = choose(candidates)
        if best is None:
            return failed(Code.NO_ENDPOINT, retry_after_s=1.0)
        peer = self._directory.peers[best.endpoint]
        unread = self._unread(call, peer, known)
        dispatch = self._dispatch(call, peer, progress, known)
        patience_s = self.patience_s(call, best.cost)
        room = None if peer.load is None else round(peer.load.room(0), 3)
        return Placed(
            peer, dispatch, unread, patience_s, tuple(candidates), room
        )

    def is_large(self, call: ForwardCall) -> bool:
        """Whether a call waits until an engine has memory for it."""
        return self._size(call) >= _LARGE_SHARE

    def waiting(self, call: ForwardCall) -> Waiting:
        """Returns a large call as those see it who let it go."""
        route = call.route
        patience = caller_patience_s(route.target_s, route.gap_s)
        ends_at = min(call.deadline, call.arrived + patience)
        return Waiting(
            number=0,
            priority=call.priority,
            target_at=call.arrived + route.target_s,
            ends_at=ends_at - _MARGIN_S,
            size=self._size(call),
        )

    def bid(self, call: ForwardCall, endpoint: EndpointId, known: Known) -> Bid:
        """Returns what a large call would take of an engine."""
        peer = self._directory.peers[endpoint]
        unread = self._unread(call, peer, known)
        return Bid(endpoint, call.prompt.memory_tokens, unread)

    def ahead_limit_s(self, call: ForwardCall) -> float:
        """Returns how much may be read first where a large call goes."""
        return _AHEAD_SHARE * call.route.target_s

    def shortlist(
        self, call: ForwardCall, avoid: set[EndpointId], count: int
    ) -> list[Peer]:
        """Returns the endpoints that could take a call, the likely ones first.

        The first ones on the ring are the same at every entry, so a prompt
        returns to where it was. A plain service keeps nothing, and the ones
        of this availability zone come first.
        """
        now = self._clock()
        root = call.root or call.name
        if call.prompt is None:
            peers = self._directory.shortlist(call.service, root, _PLAIN)
            peers.sort(key=lambda peer: peer.listed.zone != self._zone)
        else:
            peers = self._directory.shortlist(call.service, root, count)
        return [
            peer
            for peer in peers[:count]
            if peer.pool.room
            and peer.listed.endpoint not in avoid
            and not self._barred(call, peer, now)
        ]

    def all_listed(self, call: ForwardCall, count: int) -> bool:
        """Whether a shortlist of that length holds all endpoints."""
        return count >= self._directory.size(call.service)

    def asked(self, call: ForwardCall, peer: Peer) -> AskedEndpoint:
        """Returns what an endpoint's home is asked."""
        endpoint = peer.listed.endpoint
        if call.prompt is None:
            return AskedEndpoint(endpoint)
        weights = peer.weights(call.prompt.model)
        return AskedEndpoint(endpoint, self._salt(call, weights))

    def salts(self, call: ForwardCall, peers: list[Peer]) -> set[str]:
        """Returns the salts under which a prompt's parts may be kept."""
        if call.prompt is None:
            return set()
        versions = {peer.weights(call.prompt.model) for peer in peers} - {0}
        return {self._salt(call, version) for version in versions}

    def content(self, call: ForwardCall, best: Candidate | None) -> bool:
        """Whether a choice is so good that no other needs to be looked for."""
        if best is None or not best.sound or not best.room:
            return False
        peer = self._directory.peers[best.endpoint]
        if peer.load is None or call.prompt is None:
            return peer.taken(self._clock()) < peer.listed.slots
        ahead_s = peer.load.ahead_s(call.priority)
        return ahead_s <= _CONTENT_SHARE * call.route.target_s

    def compare(
        self, call: ForwardCall, avoid: set[EndpointId], known: Known
    ) -> list[Candidate]:
        """Returns the endpoints of a choice with their costs.

        Where homes have answered only what they told of counts: an endpoint
        that nobody tells of looks idle, and would be sent whatever comes.
        """
        now = self._clock()
        ranked = call.prompt is not None and bool(call.root)
        peers = self.shortlist(call, avoid, known.count)
        return [
            self._candidate(call, peer, rank if ranked else 0, now, known)
            for rank, peer in enumerate(peers)
            if not known.states or peer.listed.endpoint in known.states
        ]

    def _size(self, call: ForwardCall) -> float:
        """Returns the share of an engine's memory that a call takes."""
        memory = self._directory.engine_memory(call.service)
        if call.prompt is None or not memory:
            return 0.0
        return call.prompt.memory_tokens / memory

    def _has_room(self, call: ForwardCall, peer: Peer, known: Known) -> bool:
        """Whether a large call would push nobody out of an engine.

        Nor does it go ahead of those that wait for that engine, or where
        much is read first.
        """
        load = peer.load
        if load is None or not self.is_large(call):
            return True
        state = known.states.get(peer.listed.endpoint)
        if state is not None and state.waiting:
            return False
        if load.room(0) >= 1.0:
            return True
        if load.ahead_s(call.priority) > self.ahead_limit_s(call):
            return False
        return load.room(call.prompt.memory_tokens) >= HEADROOM

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
        placement = None
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
            placement = Placement(
                dispatch.endpoint,
                dispatch.salt,
                call.prompt.shared,
                peer.listed.born_ms,
            )
            self._tell_saves(call.prompt, dispatch)
        self.on_sent(dispatch.endpoint, placement)

    def _tell_saves(self, prompt: Prompt, to: Dispatch) -> None:
        """Tells of the parts that a request asks to be saved."""
        names = {row.address: name for name, row in self._stores.traits.items()}
        saves = [
            (part, names[address])
            for part, address in zip(prompt.parts, to.save, strict=False)
            if address in names
        ]
        if saves:
            self._on_save(to.salt, saves)

    def first_event(self, call: ForwardCall, peer: Peer) -> None:
        """Learns that an attempt's prompt has been read."""
        if peer.load is not None:
            peer.load.first_event(call.name, self._clock())
            self.on_change(peer.listed.endpoint)

    def over(self, call: ForwardCall, peer: Peer) -> None:
        """Counts an attempt out."""
        peer.running -= 1
        if peer.load is not None:
            peer.load.ended(call.name)
        self.on_change(peer.listed.endpoint)

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
        known: Known,
    ) -> Candidate:
        cost = 0.0
        if peer.listed.zone != self._zone:
            cost += _OTHER_ZONE_S
        if peer.load is not None and call.prompt is not None:
            cost += self._engine_cost(call, peer, rank, known)
        else:
            cost += self._plain_cost(peer, now)
        cost *= peer.health.penalty
        endpoint = peer.listed.endpoint
        state = known.states.get(endpoint)
        sound = peer.sound(now) and not (state and state.silent)
        room = self._has_room(call, peer, known)
        return Candidate(endpoint, cost, sound, room)

    def _engine_cost(
        self, call: ForwardCall, peer: Peer, rank: int, known: Known
    ) -> float:
        load = peer.load
        salt = self._salt(call, peer.weights(call.prompt.model))
        unread, fetch_s = self._reading(call.prompt, salt, peer, known)
        tokens = call.prompt.memory_tokens
        return engine_cost_s(load, call.priority, tokens, unread, fetch_s, rank)

    def _unread(self, call: ForwardCall, peer: Peer, known: Known) -> int:
        if call.prompt is None or peer.load is None:
            return 0
        salt = self._salt(call, peer.weights(call.prompt.model))
        return self._reading(call.prompt, salt, peer, known)[0]

    def _reading(
        self, prompt: Prompt, salt: str, peer: Peer, known: Known
    ) -> tuple[int, float]:
        """Returns the tokens to read and the time to fetch the others."""
        held = 0
        fetch_s = 0.0
        own = self._held(prompt, salt, peer, known)
        for number, part in enumerate(prompt.parts):
            if number >= own:
                told = known.stored.get((salt, part.name))
                if told is None or told.word is not PartWord.HELD:
                    break
                store = self._stores.traits.get(told.store)
                if store is None:
                    break
                fetch_s += store.fetch_s(part.tokens, peer.listed.zone)
            held += part.tokens
        return prompt.tokens_in - held, fetch_s

    def _held(self, prompt: Prompt, salt: str, peer: Peer, known: Known) -> int:
        """Returns how many of a prompt's first parts an engine holds."""
        state = known.states.get(peer.listed.endpoint)
        if state is not None:
            return state.found
        return peer.load.leading(salt, prompt) if peer.load else 0

    def _plain_cost(self, peer: Peer, now: float) -> float:
        taken = peer.taken(now)
        over = max(0, taken + 1 - peer.listed.slots)
        return _PLAIN_WORK_S * (1 + over / peer.listed.slots) + taken * 0.001

    def _dispatch(
        self, call: ForwardCall, peer: Peer, progress: Progress, known: Known
    ) -> Dispatch:
        endpoint = peer.listed.endpoint
        if call.prompt is None:
            return Dispatch(endpoint, resume_after=progress.seq)
        weights = peer.weights(call.prompt.model)
        salt = self._salt(call, weights)
        plans = self._plan_parts(call.prompt, salt, weights, known)
        fetch, save = self._addresses(call.prompt, plans)
        return Dispatch(
            endpoint=endpoint,
            salt=salt,
            weights=weights,
            priority=call.priority,
            resume_after=progress.seq,
            fetch=fetch,
            save=save,
            fetch_until_ms=min(
                (plan.until_ms for plan in plans if plan.fetch), default=0
            ),
            sources=self._sources(call.prompt, salt, peer, plans, known),
        )

    def _plan_parts(
        self, prompt: Prompt, salt: str, weights: int, known: Known
    ) -> list[PartPlan]:
        """Returns what to do with each shared part; nothing if none may be."""
        if not self._stores.traits or not weights:
            return []
        may_save = weights >= self._newest(prompt.model)
        return [
            plan_of((salt, part.name), known.stored, may_save)
            for part in prompt.shared
        ]

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

    def _sources(
        self,
        prompt: Prompt,
        salt: str,
        peer: Peer,
        plans: list[PartPlan],
        known: Known,
    ) -> tuple[str, ...]:
        """Returns what each shared part is expected to come from."""
        held = self._held(prompt, salt, peer, known)
        found = [FROM_ENGINE] * held
        for plan in plans[held:]:
            found.append(plan.fetch or plan.miss.value)
        missing = len(prompt.shared) - len(found)
        return (*found, *[Miss.CLOSED.value] * missing)

    def _address(self, store: ServiceName | None) -> str:
        traits = self._stores.traits.get(store) if store else None
        return traits.address if traits else ""

    def _salt(self, call: ForwardCall, weights: int) -> str:
        """Returns the text under which cache is shared.

        Parts read under other weights, or by an isolated team, must never be
        found; the engine looks under the same salt only. While an engine's
        version is not known, a request shares with no other.
        """
        team = call.team if call.isolated else ""
        return salt_of(team, call.prompt.model, weights) or f"?{call.name}"


def _promised(
    candidates: list[Candidate], turn: EndpointId | None
) -> Candidate | None:
    """Returns the candidate that has promised its memory, if it is sound."""
    for candidate in candidates:
        if candidate.endpoint == turn and candidate.sound:
            return candidate
    return None
