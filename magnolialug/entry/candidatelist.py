"""Which endpoints are compared for a call, the likely ones first."""

from collections.abc import Callable, Iterable

from magnolialug.entry.directory import Directory
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.ids import EndpointId, ZoneId
from magnolialug.policy.weightbounds import WeightBounds

__all__ = ["CandidateList"]

# Endpoints of a plain service among which those of this availability zone are
# looked for.
_PLAIN = 24
# A prompt may begin this much later than expected and still be in time on
# weights that will soon be barred: about what the queues here are misjudged by.
_BEGIN_MARGIN_S = 0.5


class CandidateList:
    """Draws a few endpoints of a service for each call.

    With thousands of endpoints comparing all of them would cost 15 ms a
    request.

    Args:
      zone: where this process runs.
      bounds: until when replaced weights may be used.
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        directory: Directory,
        zone: ZoneId,
        bounds: WeightBounds,
        clock: Callable[[], float],
    ):
        self._directory = directory
        self._zone = zone
        self._bounds = bounds
        self._clock = clock

    def peers(
        self, call: ForwardCall, avoid: set[EndpointId], count: int
    ) -> list[Peer]:
        """Returns those of the first endpoints that could take a call.

        The first ones on the ring are the same at every entry, so a prompt
        returns to where it was. A plain service keeps nothing, and the ones
        of this availability zone come first.
        """
        root = call.root or call.name
        if call.prompt is None:
            peers = self._directory.shortlist(call.service, root, _PLAIN)
            peers.sort(key=lambda peer: peer.listed.zone != self._zone)
        else:
            peers = self._directory.shortlist(call.service, root, count)
        return self._usable(call, avoid, peers[:count])

    def named(
        self,
        call: ForwardCall,
        avoid: set[EndpointId],
        endpoints: Iterable[EndpointId],
    ) -> list[Peer]:
        """Returns those of some endpoints that could take a call."""
        found = (self._directory.peers.get(name) for name in endpoints)
        peers = [peer for peer in found if peer and peer.accepts_work]
        return self._usable(call, avoid, peers)

    def all_listed(self, call: ForwardCall, count: int) -> bool:
        """Whether a shortlist of that length holds all endpoints."""
        return count >= self._directory.size(call.service)

    def _usable(
        self, call: ForwardCall, avoid: set[EndpointId], peers: list[Peer]
    ) -> list[Peer]:
        now = self._clock()
        return [
            peer
            for peer in peers
            if peer.pool.has_capacity
            and peer.cold.may_send(now)
            and peer.listed.endpoint not in avoid
            and not self._barred(call, peer, now)
        ]

    def _barred(self, call: ForwardCall, peer: Peer, now: float) -> bool:
        """Whether a prompt would begin on weights too old to be of use."""
        if call.prompt is None or peer.load is None:
            return False
        model = call.prompt.model
        until = self._bounds.usable_until(model, peer.least_weights(model))
        if until == float("inf"):
            return False
        begins = now + peer.load.ahead_s(call.priority)
        return begins + _BEGIN_MARGIN_S > until
