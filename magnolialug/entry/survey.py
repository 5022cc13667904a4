"""Asks about a call's endpoints: a few at first, more while none is good."""

from collections.abc import Callable, Mapping

from twisted.internet.defer import ensureDeferred, gatherResults

from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.known import Known
from magnolialug.entry.peer import Peer
from magnolialug.entry.placer import Placer
from magnolialug.homes.asker import Asker
from magnolialug.ids import EndpointId
from magnolialug.parts.asker import PartAsker
from magnolialug.policy.choice import choose
from magnolialug.policy.partplan import Stored
from magnolialug.policy.sharedload import EndpointState
from magnolialug.policy.storebook import PartKey

__all__ = ["Survey"]

# Endpoints that are asked about in each round. Of two or three drawn ones the
# less busy is nearly as good as the least busy of all while load is spread;
# when it is not, some further ones are likely to be free.
_ROUNDS = (3, 9, 24)
# Beyond the last round only while nothing sound is found, four times as many.
_GROWTH = 4


class Survey:
    """Finds out what is needed for one choice.

    Args:
      placer: judges what is found.
      asker: asks the homes of endpoints.
      parts: asks the homes of stores.
    """

    def __init__(
        self,
        placer: Placer,
        asker: Asker,
        parts: PartAsker,
        clock: Callable[[], float],
    ):
        self._placer = placer
        self._asker = asker
        self._parts = parts
        self._clock = clock

    async def look(self, call: ForwardCall, avoid: set[EndpointId]) -> Known:
        """Returns what the homes of some endpoints and parts tell."""
        states: dict[EndpointId, EndpointState] = {}
        stored: dict[PartKey, Stored] = {}
        asked: set[EndpointId] = set()
        rounds = iter(_ROUNDS)
        count = 0
        while True:
            count = next(rounds, _GROWTH * count)
            peers = self._placer.shortlist(call, avoid, count)
            fresh = [p for p in peers if p.listed.endpoint not in asked]
            asked.update(p.listed.endpoint for p in fresh)
            told, parts = await self._ask(call, fresh, stored)
            states.update(told)
            stored.update(parts)
            known = Known(count, states, stored)
            best = choose(self._placer.compare(call, avoid, known))
            looked_far = count >= _ROUNDS[-1] and best and best.sound
            if looked_far or self._placer.content(call, best):
                return known
            if self._placer.all_listed(call, count):
                return known

    async def _ask(
        self,
        call: ForwardCall,
        peers: list[Peer],
        stored: Mapping[PartKey, Stored],
    ) -> tuple[dict[EndpointId, EndpointState], dict[PartKey, Stored]]:
        """Asks about endpoints, and about parts under salts new among them."""
        if not peers:
            return {}, {}
        rows = [self._placer.asked(call, peer) for peer in peers]
        shared = call.prompt.shared if call.prompt is not None else ()
        known = {salt for salt, _ in stored}
        salts = self._placer.salts(call, peers) - known
        # Both questions are on their way before either answer is waited for.
        states = ensureDeferred(self._asker.ask(rows, shared))
        parts = ensureDeferred(self._parts.ask(salts, shared))
        found = await gatherResults([states, parts], consumeErrors=True)
        now = self._clock()
        for peer in peers:
            state = found[0].get(peer.listed.endpoint)
            if state is not None:
                peer.told(state, now)
        return found[0], found[1]
