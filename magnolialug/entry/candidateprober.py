"""Queries a call's candidate endpoints in growing rounds."""

from collections.abc import Callable, Mapping

from twisted.internet.defer import CancelledError, ensureDeferred

from magnolialug.entry.candidatelist import CandidateList
from magnolialug.entry.costestimator import CostEstimator
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.ids import EndpointId
from magnolialug.owners.loadqueryclient import LoadQueryClient
from magnolialug.owners.messages import QueriedEndpoint
from magnolialug.policy.choice import Candidate, choose
from magnolialug.prefixcache.queryclient import PartQueryClient

__all__ = ["CandidateProber"]

# Shortlist sizes of the successive rounds. While load is spread evenly, the
# least busy of two or three endpoints is nearly as good as the least busy of
# all; when it is not, a larger round is likely to find free ones.
_ROUND_SIZES = (3, 9, 24)
# Growth factor of the rounds after the last one, which are only made while no
# healthy endpoint is found.
_ROUND_GROWTH = 4


class CandidateProber:
    """Collects the candidates for one placement decision.

    Args:
      shortlist: selects the endpoints.
      costs: estimates the cost of each endpoint.
      load: queries the owners of endpoints for their load.
      parts: queries the owners of stores for cached parts.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        shortlist: CandidateList,
        costs: CostEstimator,
        load: LoadQueryClient,
        parts: PartQueryClient,
        clock: Callable[[], float],
    ):
        self._shortlist = shortlist
        self._costs = costs
        self._load = load
        self._parts = parts
        self._clock = clock

    async def probe(
        self, call: ForwardCall, avoid: set[EndpointId]
    ) -> ProbeResults:
        """Returns the candidates and the reports of their owners."""
        results = ProbeResults()
        peers: dict[EndpointId, Peer] = {}
        rounds = iter(_ROUND_SIZES)
        while True:
            results.count = next(rounds, _ROUND_GROWTH * results.count)
            listed = self._shortlist.peers(call, avoid, results.count)
            await self._add(call, listed, results, peers)
            readers = {row.reader for row in results.stored.values()} - {""}
            reading = self._shortlist.usable(call, avoid, readers)
            await self._add(call, reading, results, peers)
            best = choose(results.candidates)
            if self._is_enough(call, best, peers, results.count):
                return results

    async def _add(
        self,
        call: ForwardCall,
        listed: list[Peer],
        results: ProbeResults,
        peers: dict[EndpointId, Peer],
    ) -> None:
        """Queries the endpoints not yet seen and adds them as candidates.

        An endpoint that has limited its request rate is passed over while this
        entry may not send to it.
        """
        fresh = [peer for peer in listed if peer.listed.endpoint not in peers]
        now = self._clock()
        await self._query(
            call, [peer for peer in fresh if peer.limit.may_ask(now)], results
        )
        now = self._clock()
        for peer in fresh:
            rank = len(peers) if call.root else 0
            peers[peer.listed.endpoint] = peer
            if not peer.pool.has_capacity:
                continue
            if not peer.limit.may_send(now):
                results.limited = True
                continue
            results.candidates.append(
                self._costs.candidate(call, peer, rank, results)
            )

    def _is_enough(
        self,
        call: ForwardCall,
        best: Candidate | None,
        peers: Mapping[EndpointId, Peer],
        count: int,
    ) -> bool:
        """Whether no further endpoints need to be queried."""
        if best is not None and best.sound:
            peer = peers[best.endpoint]
            if count >= _ROUND_SIZES[-1]:
                return True
            if best.room and self._costs.is_nearly_idle(call, peer):
                return True
        return self._shortlist.all_listed(call, count)

    async def _query(
        self, call: ForwardCall, peers: list[Peer], results: ProbeResults
    ) -> None:
        """Queries the load of endpoints and the parts in new namespaces."""
        if not peers:
            return
        rows, namespaces, shared = [], set(), ()
        if call.prompt is not None:
            shared = call.prompt.shared
        for peer in peers:
            weights = peer.weights(call.prompt.model) if call.prompt else 0
            namespace = call.cache_namespace(weights) if weights else ""
            notice = peer.limit.known.report(self._clock())
            rows.append(
                QueriedEndpoint(peer.listed.endpoint, namespace, notice)
            )
            namespaces.add(namespace)
        namespaces -= {"", *(namespace for namespace, _ in results.stored)}
        # Both queries are sent before either reply is awaited.
        parts_query = ensureDeferred(self._parts.ask(namespaces, shared))
        try:
            states = await self._load.ask(rows, shared, call.priority)
            stored = await parts_query
        except CancelledError:
            parts_query.addErrback(lambda reason: reason.trap(CancelledError))
            parts_query.cancel()
            raise
        results.states.update(states)
        results.stored.update(stored)
        now = self._clock()
        for peer in peers:
            state = states.get(peer.listed.endpoint)
            if state is not None:
                peer.apply_shared_state(state, now)
            else:
                peer.limit.fall_back(now)
