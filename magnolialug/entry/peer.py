"""One endpoint as the gateway uses it."""

from magnolialug.carrier.pool import Pool
from magnolialug.policy.engineload import EngineLoad
from magnolialug.policy.health import Health
from magnolialug.policy.listed import Listed

__all__ = ["Peer"]


class Peer:
    """An endpoint's connections, its health and what is under way there.

    Attributes:
      listed: its newest registry entry.
      running: attempts under way from this process.
      gone: whether the registry dropped it, or another has its address.
      closed_until: its engine loads weights and turns new work away.
      load: what is known of its engine, None for a plain service.
    """

    def __init__(self, listed: Listed, pool: Pool, load: EngineLoad | None):
        self.listed = listed
        self.pool = pool
        self.load = load
        self.health = Health()
        self.running = 0
        self.gone = False
        self.closed_until = 0.0
        self.weights: dict[str, int] = dict(listed.weights)

    @property
    def leaving(self) -> bool:
        """Whether no new work may go to it."""
        return self.gone or self.listed.leaving

    def heard_weights(self, model: str, version: int) -> None:
        """Takes the version that one of its answers was made with."""
        if version > self.weights.get(model, 0):
            self.weights[model] = version
            self.closed_until = 0.0

    def relist(self, listed: Listed) -> None:
        """Takes a newer registry entry."""
        self.listed = listed
        for model, version in listed.weights.items():
            self.heard_weights(model, version)
