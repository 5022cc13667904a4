"""Probes a call's endpoints: a few at first, more while none is good."""

from collections.abc import Callable, Mapping

from twisted.internet.defer import CancelledError, ensureDeferred

from magnolialug.entry.candidatelist import CandidateList
from magnolialug.entry.costs import Costs
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.entry.proberesults import ProbeResults
from magnolialug.ids import EndpointId
from magnolialug.owners.loadqueryclient import LoadQueryClient
from magnolialug.owners.messages import QueriedEndpoint
from magnolialug.policy.choice import Candidate, choose
from magnolialug.prefixcache.queryclient import PartQueryClient

__all__ = ["CandidateProber"]

# Endpoints that are asked about in each round. Of two or three drawn ones the
# less busy is nearly as good as the least busy of all while load is spread;
# when it is not, some further ones are likely to be free.
_ROUNDS = (3, 9, 24)
# Beyond the last round only while nothing sound is found, four times as many.
_GROWTH = 4


class CandidateProber:
    """Collects what is needed for one choice.

    Args:
      shortlist: draws the endpoints.
      costs: judges what is found.
      load: queries the owners of endpoints.
      parts: queries the owners of stores.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        shortlist: CandidateList,
        costs: Costs,
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
        """Returns what the owners of some endpoints and parts report."""
        known = ProbeResults()
        peers: dict[EndpointId, Peer] = {}
        rounds = iter(_ROUNDS)
        while True:
            known.count = next(rounds, _GROWTH * known.count)
            listed = self._shortlist.peers(call, avoid, known.count)
            await self._add(call, listed, known, peers)
            readers = {row.reader for row in known.stored.values()} - {""}
            reading = self._shortlist.named(call, avoid, readers)
            await self._add(call, reading, known, peers)
            best = choose(known.candidates)
            if self._is_enough(call, best, peers, known.count):
                return known

    async def _add(
        self,
        call: ForwardCall,
        listed: list[Peer],
        known: ProbeResults,
        peers: dict[EndpointId, Peer],
    ) -> None:
        """Asks about those that are new, and adds them to the candidates."""
        fresh = [peer for peer in listed if peer.listed.endpoint not in peers]
        await self._ask(call, fresh, known)
        for peer in fresh:
            rank = len(peers) if call.root else 0
            peers[peer.listed.endpoint] = peer
            known.candidates.append(
                self._costs.candidate(call, peer, rank, known)
            )

    def _is_enough(
        self,
        call: ForwardCall,
        best: Candidate | None,
        peers: Mapping[EndpointId, Peer],
        count: int,
    ) -> bool:
        """Whether no further endpoint is worth a question."""
        if best is not None and best.sound:
            peer = peers[best.endpoint]
            if count >= _ROUNDS[-1]:
                return True
            if best.room and self._costs.content(call, peer):
                return True
        return self._shortlist.all_listed(call, count)

    async def _ask(
        self, call: ForwardCall, peers: list[Peer], known: ProbeResults
    ) -> None:
        """Asks about endpoints, and about parts under salts new among them."""
        if not peers:
            return
        rows, salts, shared = [], set(), ()
        if call.prompt is not None:
            shared = call.prompt.shared
        for peer in peers:
            weights = peer.weights(call.prompt.model) if call.prompt else 0
            salt = call.salt(weights) if weights else ""
            rows.append(QueriedEndpoint(peer.listed.endpoint, salt))
            salts.add(salt)
        salts -= {"", *(salt for salt, _ in known.stored)}
        # Both questions are on their way before either answer is waited for.
        sought = ensureDeferred(self._parts.ask(salts, shared))
        try:
            states = await self._load.ask(rows, shared)
            stored = await sought
        except CancelledError:
            sought.addErrback(lambda reason: reason.trap(CancelledError))
            sought.cancel()
            raise
        known.states.update(states)
        known.stored.update(stored)
        now = self._clock()
        for peer in peers:
            state = states.get(peer.listed.endpoint)
            if state is not None:
                peer.told(state, now)
