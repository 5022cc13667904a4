"""Estimates the cost of serving a call at an endpoint."""

from collections.abc import Callable

from magnolialug.entry.admissionrules import is_large, queued_work_limit_s
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.ids import ZoneId
from magnolialug.policy.choice import Candidate
from magnolialug.policy.endpointledger import HEADROOM
from magnolialug.policy.enginecost import engine_cost_s
from magnolialug.policy.storeindex import PartStatus
from magnolialug.policy.storemap import StoreMap

__all__ = ["CostEstimator"]

# Cost of sending to another availability zone, as seconds of waiting. It
# exceeds the network delay because traffic between zones is billed.
_CROSS_ZONE_COST_S = 0.03
# Assumed work of a request at a plain service, which is not known before its
# answer. Only the comparison between endpoints matters.
_PLAIN_WORK_S = 0.05
# Cost of each running request: of endpoints with free slots, the one with fewer
# requests is preferred.
_PLAIN_REQUEST_COST_S = 0.001
# An endpoint counts as nearly idle, and no further one is queried, if its queue
# delays a prompt by at most this share of the latency target.
_NEARLY_IDLE_SHARE = 0.15


class CostEstimator:
    """Estimates costs from the last known state of the endpoints.

    Args:
      zone: the availability zone of this process.
      stores: the stores of cached parts.
      clock: returns the time in seconds.
    """

    def __init__(
        self, zone: ZoneId, stores: StoreMap, clock: Callable[[], float]
    ):
        self._zone = zone
        self._stores = stores
        self._clock = clock

    def candidate(
        self, call: ForwardCall, peer: Peer, rank: int, results: ProbeResults
    ) -> Candidate:
        """Returns an endpoint as a candidate for a call.

        Args:
          rank: the position of the endpoint in the prompt's ring order.
        """
        now = self._clock()
        cost = 0.0
        if peer.listed.zone != self._zone:
            cost += _CROSS_ZONE_COST_S
        if peer.load is not None and call.prompt is not None:
            cost += self._engine_cost(call, peer, rank, results)
        else:
            cost += self._plain_cost(peer, now)
        cost *= peer.health.penalty
        endpoint = peer.listed.endpoint
        state = results.states.get(endpoint)
        return Candidate(
            endpoint,
            cost,
            sound=peer.sound(now) and not (state and state.silent),
            room=self._has_room(call, peer, results),
            reported=state is not None,
            starts_soon=self._is_soon(call, peer, results),
        )

    def is_nearly_idle(self, call: ForwardCall, peer: Peer) -> bool:
        """Whether the endpoint is so idle that no other needs to be queried."""
        if peer.load is None or call.prompt is None:
            return peer.total_running(self._clock()) < peer.listed.slots
        ahead_s = peer.load.ahead_s(call.priority)
        return ahead_s <= _NEARLY_IDLE_SHARE * call.route.target_s

    def unread_tokens(
        self, call: ForwardCall, peer: Peer, results: ProbeResults
    ) -> int:
        """Returns the prompt tokens that an endpoint would have to read."""
        if call.prompt is None or peer.load is None:
            return 0
        return self._unread_and_fetch_s(call, peer, results)[0]

    def held_parts(
        self, call: ForwardCall, peer: Peer, results: ProbeResults
    ) -> int:
        """Returns how many leading parts of a prompt an engine has cached."""
        state = results.states.get(peer.listed.endpoint)
        if state is not None:
            return state.cached_parts
        if peer.load is None:
            return 0
        cache_namespace = call.cache_namespace(peer.weights(call.prompt.model))
        return peer.load.leading(cache_namespace, call.prompt)

    def _engine_cost(
        self, call: ForwardCall, peer: Peer, rank: int, results: ProbeResults
    ) -> float:
        unread, fetch_s = self._unread_and_fetch_s(call, peer, results)
        tokens = call.prompt.memory_tokens
        return engine_cost_s(
            peer.load, call.priority, tokens, unread, fetch_s, rank
        )

    def _unread_and_fetch_s(
        self, call: ForwardCall, peer: Peer, results: ProbeResults
    ) -> tuple[int, float]:
        """Returns the tokens to read and the seconds to fetch the rest."""
        prompt = call.prompt
        cache_namespace = call.cache_namespace(peer.weights(prompt.model))
        held_parts = self.held_parts(call, peer, results)
        held_tokens = 0
        fetch_s = 0.0
        for number, part in enumerate(prompt.parts):
            if number >= held_parts:
                stored = results.stored.get((cache_namespace, part.name))
                if stored is None or stored.status is not PartStatus.HELD:
                    break
                store = self._stores.traits.get(stored.store)
                if store is None:
                    break
                fetch_s += store.fetch_s(part.tokens, peer.listed.zone)
            held_tokens += part.tokens
        return prompt.input_tokens - held_tokens, fetch_s

    def _plain_cost(self, peer: Peer, now: float) -> float:
        running = peer.total_running(now)
        excess = max(0, running + 1 - peer.listed.slots)
        work_s = _PLAIN_WORK_S * (1 + excess / peer.listed.slots)
        return work_s + running * _PLAIN_REQUEST_COST_S

    def _has_room(
        self, call: ForwardCall, peer: Peer, results: ProbeResults
    ) -> bool:
        """Whether a large call fits without evicting other prompts.

        It does not count as fitting while other prompts wait for that engine,
        so that it does not overtake them.
        """
        load = peer.load
        if load is None or not is_large(call, load.memory):
            return True
        state = results.states.get(peer.listed.endpoint)
        if state is not None and state.waiting:
            return False
        if load.room(0) >= 1.0:
            return True
        return load.room(call.prompt.memory_tokens) >= HEADROOM

    def _is_soon(
        self, call: ForwardCall, peer: Peer, results: ProbeResults
    ) -> bool:
        """Whether an engine would start a large call soon.

        It does not while its streams would pause for too long.
        """
        load = peer.load
        if load is None or not is_large(call, load.memory):
            return True
        if load.room(0) >= 1.0:
            return True
        if load.ahead_s(call.priority) > queued_work_limit_s(call):
            return False
        unread = self.unread_tokens(call, peer, results)
        return load.admits_prefill(unread)
