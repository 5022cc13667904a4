"""Queries the owners of endpoints for their load."""

from collections.abc import Sequence
from functools import partial

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId
from magnolialug.owners.dissemination import Dissemination
from magnolialug.owners.messages import (
    Announcements,
    LoadQuery,
    LoadReply,
    QueriedEndpoint,
)
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.pendingqueries import PendingQueries
from magnolialug.policy.prompt import Part
from magnolialug.policy.sharedload import EndpointState

__all__ = ["LoadQueryClient"]


class LoadQueryClient:
    """Queries the load of a few endpoints before one of them is chosen.

    Args:
      entry: identifies this start of this process.
      ring: assigns an owner to each endpoint.
      pending: sends queries and collects the replies.
      dissemination: returns the known versions of announcements, and applies
        newer announcements.
      is_preview: whether owners must only read, and replies announce nothing.
    """

    def __init__(
        self,
        entry: str,
        ring: OwnerRing,
        pending: PendingQueries,
        dissemination: Dissemination,
        is_preview: bool = False,
    ):
        self._entry = entry
        self._ring = ring
        self._pending = pending
        self._dissemination = dissemination
        self._is_preview = is_preview

    def for_preview(self, pending: PendingQueries) -> "LoadQueryClient":
        """Returns a client whose queries change nothing.

        Args:
          pending: sends its queries.
        """
        return LoadQueryClient(
            self._entry, self._ring, pending, self._dissemination, True
        )

    async def ask(
        self,
        endpoints: Sequence[QueriedEndpoint],
        parts: tuple[Part, ...],
        priority: int = 0,
    ) -> dict[EndpointId, EndpointState]:
        """Returns the states of the endpoints whose owners reply in time.

        Args:
          priority: of the request to be placed, 0 is the most urgent.
        """
        known = self._dissemination.known_versions()
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
                    priority=priority,
                    is_preview=self._is_preview,
                )
                for owner, rows in by_owner.items()
            }
        )
        for reply in () if self._is_preview else replies:
            self._dissemination.take(
                Announcements(reply.rollout, reply.evacuated)
            )
        return {
            state.endpoint: state for reply in replies for state in reply.states
        }
