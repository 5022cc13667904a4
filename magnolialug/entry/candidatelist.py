"""Shortlist of the endpoints that are compared for a call."""

from collections.abc import Callable, Iterable

from magnolialug.entry.directory import Directory
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.peer import Peer
from magnolialug.ids import EndpointId, ZoneId
from magnolialug.policy.registeredendpoint import UNKNOWN_SOFTWARE
from magnolialug.policy.weightbounds import WeightBounds

__all__ = ["CandidateList"]

# Size of the shortlist of a plain service, from which endpoints of this
# availability zone are preferred.
_PLAIN_SHORTLIST_SIZE = 24
# Margin for the start of a prompt on weights that will soon be disallowed:
# about the error of the queue estimates.
_START_MARGIN_S = 0.5


class CandidateList:
    """Selects a few endpoints of a service for each call.

    With thousands of endpoints, comparing all of them would cost 15 ms a
    request.

    Args:
      zone: the availability zone of this process.
      bounds: when replaced weights stop being usable.
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
        """Returns the usable endpoints among the first `count` on the ring.

        The ring order is the same at every entry, so a prompt returns to the
        endpoints that served it before. Plain services keep no state between
        requests; their endpoints in this availability zone come first.
        """
        root = call.root or call.name
        if call.prompt is None:
            peers = self._directory.shortlist(
                call.service, root, _PLAIN_SHORTLIST_SIZE
            )
            peers.sort(key=lambda peer: peer.listed.zone != self._zone)
        else:
            peers = self._directory.shortlist(call.service, root, count)
        return self._usable(call, avoid, peers[:count])

    def usable(
        self,
        call: ForwardCall,
        avoid: set[EndpointId],
        endpoints: Iterable[EndpointId],
    ) -> list[Peer]:
        """Returns the given endpoints that can take a call."""
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
            if peer.may_connect(now)
            and peer.cold.may_send(now)
            and peer.rest.may_send(now)
            and peer.listed.endpoint not in avoid
            and _has_software(call, peer)
            and not self._weights_expired(call, peer, now)
        ]

    def _weights_expired(
        self, call: ForwardCall, peer: Peer, now: float
    ) -> bool:
        """Whether a prompt would start on weights that are no longer usable."""
        if call.prompt is None or peer.load is None:
            return False
        model = call.prompt.model
        until = self._bounds.usable_until(model, peer.min_weights(model))
        if until == float("inf"):
            return False
        starts_at = now + peer.load.ahead_s(call.priority)
        return starts_at + _START_MARGIN_S > until


def _has_software(call: ForwardCall, peer: Peer) -> bool:
    """Whether an endpoint is known to have the version that a call needs."""
    if call.software is None:
        return True
    return call.software == peer.listed.software != UNKNOWN_SOFTWARE
