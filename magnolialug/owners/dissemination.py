"""Spreads announcements among the entries.

Those of the key-value service reach entries that cannot reach the service
themselves. What an endpoint says in an answer reaches all entries.
"""

from collections.abc import Callable
from typing import Protocol

from magnolialug.owners.messages import Announcements, KnownVersions
from magnolialug.policy.endpointnotice import LeavingEndpoint
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.rollout import Rollout

__all__ = [
    "Dissemination",
    "EvacuationState",
    "LeavingState",
    "RolloutState",
]

# Announcements are added to reports for this long after they were received.
_ANNOUNCE_FOR_S = 6.0


class RolloutState(Protocol):
    """The newest rollout that this entry knows, and when it was received."""

    rollout: Rollout | None
    rollout_received_at: float

    def update_rollout(self, rollout: Rollout) -> None:
        """Applies a rollout that another entry has reported."""


class EvacuationState(Protocol):
    """The evacuated zones that this entry applies, and when they changed."""

    current: EvacuatedZones
    changed_at: float

    def update_from_peer(self, evacuated: EvacuatedZones) -> None:
        """Applies evacuated zones that another entry has reported."""


class LeavingState(Protocol):
    """The endpoints that are known to leave."""

    def leaving_since(self, at: float) -> tuple[LeavingEndpoint, ...]:
        """Returns the endpoints of which that was learned after a time."""

    def record_leaving(self, leaving: LeavingEndpoint) -> None:
        """Applies that an endpoint leaves, by an answer to another entry."""


class Dissemination:
    """Adds announcements to the messages between entries and owners.

    No separate message is sent. Reports carry recent announcements, and a reply
    carries those newer than the versions that its query states. So the cost
    does not depend on the size of the fleet, and an entry receives the
    announcements with the reply to its first query. Whether an endpoint leaves
    is part of its state in each reply.

    Args:
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        rollouts: RolloutState,
        evacuations: EvacuationState,
        leaving: LeavingState,
        clock: Callable[[], float],
    ):
        self._rollouts = rollouts
        self._leaving = leaving
        self._evacuations = evacuations
        self._clock = clock

    def known_versions(self) -> KnownVersions:
        """Returns the versions of the announcements that this entry has."""
        rollout = self._rollouts.rollout
        return KnownVersions(
            rollout.number if rollout else 0, self._evacuations.current.revision
        )

    def newer_than(self, known: KnownVersions) -> Announcements:
        """Returns the announcements that another entry does not have."""
        rollout = self._rollouts.rollout
        evacuated = self._evacuations.current
        return Announcements(
            rollout if rollout and rollout.number > known.rollout else None,
            evacuated if evacuated.revision > known.evacuated else None,
        )

    def recent(self) -> Announcements:
        """Returns the announcements that this entry has received recently."""
        since = self._clock() - _ANNOUNCE_FOR_S
        rollouts, evacuations = self._rollouts, self._evacuations
        return Announcements(
            rollouts.rollout if rollouts.rollout_received_at > since else None,
            evacuations.current if evacuations.changed_at > since else None,
            self._leaving.leaving_since(since),
        )

    def take(self, announcements: Announcements) -> None:
        """Applies the announcements of another entry."""
        if announcements.rollout is not None:
            self._rollouts.update_rollout(announcements.rollout)
        if announcements.evacuated is not None:
            self._evacuations.update_from_peer(announcements.evacuated)
        for endpoint in announcements.leaving:
            self._leaving.record_leaving(endpoint)
