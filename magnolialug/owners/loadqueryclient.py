"""Queries the owners of endpoints for their load."""

from collections.abc import Sequence
from functools import partial

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId
from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.messages import (
    LoadQuery,
    LoadReply,
    News,
    QueriedEndpoint,
)
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.pendingqueries import PendingQueries
from magnolialug.policy.prompt import Part
from magnolialug.policy.sharedload import EndpointState

__all__ = ["LoadQueryClient"]


class LoadQueryClient:
    """Queries a few endpoints at the moment of a choice.

    Args:
      entry: names this start of this process.
      ring: assigns an owner to each endpoint.
      pending: sends queries and gathers the replies.
      dissemination: tells which news is known, and takes newer ones.
    """

    def __init__(
        self,
        entry: str,
        ring: OwnerRing,
        pending: PendingQueries,
        dissemination: Dissemination,
    ):
        self._entry = entry
        self._ring = ring
        self._pending = pending
        self._dissemination = dissemination

    async def ask(
        self, endpoints: Sequence[QueriedEndpoint], parts: tuple[Part, ...]
    ) -> dict[EndpointId, EndpointState]:
        """Returns the states of those endpoints whose owners answer."""
        known = self._dissemination.known()
        by_owner: dict[Address, list[QueriedEndpoint]] = {}
        for asked in endpoints:
            owner = self._ring.owner(asked.endpoint)
            by_owner.setdefault(owner, []).append(asked)
        replies: list[LoadReply] = await self._pending.ask(
            {
                owner: partial(
                    LoadQuery,
                    self._entry,
                    endpoints=tuple(rows),
                    parts=parts,
                    rollout=known.rollout,
                    evacuated=known.evacuated,
                )
                for owner, rows in by_owner.items()
            }
        )
        for reply in replies:
            self._dissemination.take(News(reply.rollout, reply.evacuated))
        return {
            state.endpoint: state for reply in replies for state in reply.states
        }
