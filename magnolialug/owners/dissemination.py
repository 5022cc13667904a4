"""Spreads what the key-value service announces, for those cut off from it."""

from collections.abc import Callable
from typing import Protocol

from magnolialug.owners.messages import Known, News
from magnolialug.policy.evacuation import EvacuatedZones
from magnolialug.policy.rollout import Rollout

__all__ = ["Dissemination", "EvacuationBelief", "RolloutBelief"]

# News is added to reports for this long after it was learned of.
_RECENT_S = 6.0


class RolloutBelief(Protocol):
    """The newest rollout that this entry knows, and when it was heard."""

    rollout: Rollout | None
    rollout_received_at: float

    def update_rollout(self, rollout: Rollout) -> None:
        """Takes a rollout that another entry knows."""


class EvacuationBelief(Protocol):
    """The evacuated zones that this entry knows, and since when."""

    known: EvacuatedZones
    known_at: float

    def hear(self, evacuated: EvacuatedZones) -> None:
        """Takes evacuated zones that another entry knows."""


class Dissemination:
    """Adds news to the messages between entries and owners.

    No message is sent for it: reports carry what is recent, and replies what is
    newer than their query tells to be known. So it costs the same in every
    fleet, and reaches an entry with the first query that it makes.

    Args:
      clock: returns the time in seconds.
    """

    def __init__(
        self,
        rollouts: RolloutBelief,
        evacuations: EvacuationBelief,
        clock: Callable[[], float],
    ):
        self._rollouts = rollouts
        self._evacuations = evacuations
        self._clock = clock

    def known(self) -> Known:
        """Returns which news this entry has."""
        rollout = self._rollouts.rollout
        return Known(
            rollout.number if rollout else 0, self._evacuations.known.revision
        )

    def newer_than(self, known: Known) -> News:
        """Returns what another entry does not know."""
        rollout = self._rollouts.rollout
        evacuated = self._evacuations.known
        return News(
            rollout if rollout and rollout.number > known.rollout else None,
            evacuated if evacuated.revision > known.evacuated else None,
        )

    def recent(self) -> News:
        """Returns what this entry has learned lately."""
        since = self._clock() - _RECENT_S
        rollouts, evacuations = self._rollouts, self._evacuations
        return News(
            rollouts.rollout if rollouts.rollout_received_at > since else None,
            evacuations.known if evacuations.known_at > since else None,
        )

    def take(self, news: News) -> None:
        """Takes what another entry knows."""
        if news.rollout is not None:
            self._rollouts.update_rollout(news.rollout)
        if news.evacuated is not None:
            self._evacuations.hear(news.evacuated)
