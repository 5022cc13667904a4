"""What it is expected to cost to have an endpoint answer a call."""

from collections.abc import Callable

from magnolialug.entry.admissionrules import ahead_limit_s, is_large
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.ids import ZoneId
from magnolialug.policy.choice import Candidate
from magnolialug.policy.endpointledger import HEADROOM
from magnolialug.policy.enginecost import engine_cost_s
from magnolialug.policy.storeindex import PartStatus
from magnolialug.policy.storemap import StoreMap

__all__ = ["Costs"]

# What a hop to another zone costs, in seconds of waiting. It is above the time
# of the hop itself, because bytes between zones are paid for.
_OTHER_ZONE_S = 0.03
# Work at a plain service that is expected of each request before its answers
# have told; only the comparison between endpoints matters.
_PLAIN_WORK_S = 0.05
# Between endpoints with free slots, the one with fewer requests is taken.
_PLAIN_TAKEN_S = 0.001
# A choice is good enough, and nobody else is asked about, where this much of
# the target at most is spent before a prompt's turn.
_CONTENT_SHARE = 0.15


class Costs:
    """Judges endpoints by what is known of them at the moment of a choice.

    Args:
      zone: where this process runs.
      stores: the stores of cache parts.
      clock: returns the time in seconds.
    """

    def __init__(
        self, zone: ZoneId, stores: StoreMap, clock: Callable[[], float]
    ):
        self._zone = zone
        self._stores = stores
        self._clock = clock

    def candidate(
        self, call: ForwardCall, peer: Peer, rank: int, known: ProbeResults
    ) -> Candidate:
        """Returns an endpoint as a candidate for a call.

        Args:
          rank: its place among the prompt's endpoints on the ring.
        """
        now = self._clock()
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
        return Candidate(
            endpoint,
            cost,
            sound=peer.sound(now) and not (state and state.silent),
            room=self._has_room(call, peer, known),
            told=state is not None,
            soon=self._is_soon(call, peer),
        )

    def content(self, call: ForwardCall, peer: Peer) -> bool:
        """Whether so little is to be done there that nobody else is asked."""
        if peer.load is None or call.prompt is None:
            return peer.taken(self._clock()) < peer.listed.slots
        ahead_s = peer.load.ahead_s(call.priority)
        return ahead_s <= _CONTENT_SHARE * call.route.target_s

    def unread(self, call: ForwardCall, peer: Peer, known: ProbeResults) -> int:
        """Returns the prompt tokens that an endpoint would have to read."""
        if call.prompt is None or peer.load is None:
            return 0
        return self._reading(call, peer, known)[0]

    def held(self, call: ForwardCall, peer: Peer, known: ProbeResults) -> int:
        """Returns how many of a prompt's first parts an engine holds."""
        state = known.states.get(peer.listed.endpoint)
        if state is not None:
            return state.found
        if peer.load is None:
            return 0
        salt = call.salt(peer.weights(call.prompt.model))
        return peer.load.leading(salt, call.prompt)

    def _engine_cost(
        self, call: ForwardCall, peer: Peer, rank: int, known: ProbeResults
    ) -> float:
        unread, fetch_s = self._reading(call, peer, known)
        tokens = call.prompt.memory_tokens
        return engine_cost_s(
            peer.load, call.priority, tokens, unread, fetch_s, rank
        )

    def _reading(
        self, call: ForwardCall, peer: Peer, known: ProbeResults
    ) -> tuple[int, float]:
        """Returns the tokens to read and the time to fetch the others."""
        prompt = call.prompt
        salt = call.salt(peer.weights(prompt.model))
        own = self.held(call, peer, known)
        held = 0
        fetch_s = 0.0
        for number, part in enumerate(prompt.parts):
            if number >= own:
                told = known.stored.get((salt, part.name))
                if told is None or told.status is not PartStatus.HELD:
                    break
                store = self._stores.traits.get(told.store)
                if store is None:
                    break
                fetch_s += store.fetch_s(part.tokens, peer.listed.zone)
            held += part.tokens
        return prompt.input_tokens - held, fetch_s

    def _plain_cost(self, peer: Peer, now: float) -> float:
        taken = peer.taken(now)
        over = max(0, taken + 1 - peer.listed.slots)
        work_s = _PLAIN_WORK_S * (1 + over / peer.listed.slots)
        return work_s + taken * _PLAIN_TAKEN_S

    def _has_room(
        self, call: ForwardCall, peer: Peer, known: ProbeResults
    ) -> bool:
        """Whether a large call would push nobody out of an engine.

        Nor does it go ahead of those that wait for that engine.
        """
        load = peer.load
        if load is None or not is_large(call, load.memory):
            return True
        state = known.states.get(peer.listed.endpoint)
        if state is not None and state.waiting:
            return False
        if load.room(0) >= 1.0:
            return True
        return load.room(call.prompt.memory_tokens) >= HEADROOM

    def _is_soon(self, call: ForwardCall, peer: Peer) -> bool:
        """Whether little is read at an engine before a large call's turn."""
        load = peer.load
        if load is None or not is_large(call, load.memory):
            return True
        if load.room(0) >= 1.0:
            return True
        return load.ahead_s(call.priority) <= ahead_limit_s(call)
