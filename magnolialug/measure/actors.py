"""Who takes part in a measured run: entries, sidecars, requests."""

from random import Random
from typing import TYPE_CHECKING

import msgspec

from magnolialug.measure.fakes import Engine
from magnolialug.measure.workload import Req, Workload
from magnolialug.policy.attemptqueue import AttemptQueue
from magnolialug.policy.cacheestimates import CacheEstimates
from magnolialug.policy.linkestimator import LinkEstimator
from magnolialug.policy.load import EndpointView, sent
from magnolialug.policy.membership import Members
from magnolialug.policy.retry import Backoff, Budget
from magnolialug.policy.ring import Ring
from magnolialug.policy.storedblock import Tier
from magnolialug.result import Failure

if TYPE_CHECKING:
    from magnolialug.measure.world import World

__all__ = ["QUEUE", "RATE", "SLOTS", "Entry", "Sidecar", "Ticket"]

SLOTS = 8
QUEUE = 256
RATE = {Tier.MEMORY: 5e9, Tier.DISK: 1.5e9}
_BELIEFS = 12_000
_BOUND_SPEED = 1.05


class Ticket(msgspec.Struct, eq=False):
    """One request on its way.

    Attributes:
      root: the prompt with the weight version chosen for it.
      ended: how often its caller got a final word.
      started: whether any endpoint was given it.
    """

    req: Req
    root: str
    entry: "Entry"
    deadline: float
    avoid: set = msgspec.field(default_factory=set)
    backoff: Backoff = msgspec.field(default_factory=Backoff)
    first_at: float | None = None
    ended: int = 0
    started: bool = False
    recomputed: int = 0
    refusal: Failure | None = None


class Entry:
    """An entry's cache estimates."""

    def __init__(self, names: list[str], workload: Workload, seed: int):
        self.random = Random(seed)
        self.members = Members()
        self.members.listed(names)
        self.cache_estimates = CacheEstimates(_BELIEFS)
        self.ring = Ring(names)
        self.budget = Budget()
        self.views = {
            name: EndpointView(
                name,
                "",
                SLOTS,
                workload.cache_tokens,
                prefill_rate=workload.prefill_rate,
            )
            for name in names
        }
        for name in names:
            self.members.up(name, 0.0)

    def sent(self, name: str, tokens: int, now: float) -> None:
        """Counts what no status has told yet."""
        sent(self.views[name], tokens, now)


class Sidecar:
    """Queue, slots and cache of one endpoint."""

    def __init__(self, world: "World", name: str, workload: Workload):
        self.name = name
        speed = _BOUND_SPEED if world.policy.bound else 1.0
        self.engine = Engine(
            world.loop, workload.prefill_rate * speed, workload.cache_tokens
        )
        self.lineup: AttemptQueue[Ticket] = AttemptQueue(QUEUE, SLOTS)
        self.running: dict[int, Ticket] = {}
        self.alive = True
        self.draining_since: float | None = None
        self.deaf_until = 0.0
        self.links = LinkEstimator(dict(RATE))
        self.run_s = 2.0

    def unstarted(self) -> list[Ticket]:
        """Takes back and returns the tickets that do not run yet."""
        tickets = self.lineup.waiting()
        for ticket in tickets:
            self.lineup.remove(ticket)
        return tickets

    @property
    def takes_work(self) -> bool:
        """Whether new work would be admitted."""
        return self.alive and self.draining_since is None
