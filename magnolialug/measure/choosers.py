"""The compared policies: ours, three baselines and a bound."""

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from magnolialug.measure.fakes import TOKEN_BYTES
from magnolialug.policy.placement import Job, LinkView, Placement, place
from magnolialug.policy.storedblock import Tier
from magnolialug.result import Code, Failure, failed

if TYPE_CHECKING:
    from magnolialug.measure.actors import Entry, Ticket
    from magnolialug.measure.world import World

__all__ = ["POLICIES", "Chooser", "Policy"]

Chooser = Callable[["World", "Entry", "Ticket"], str | Failure]


def _pool(entry: "Entry", ticket: "Ticket") -> list[str]:
    names = entry.members.eligible(entry.views)
    return sorted(name for name in names if name not in ticket.avoid)


def _magnolialug(
    world: "World", entry: "Entry", ticket: "Ticket"
) -> str | Failure:
    now = world.loop.now
    eligible = entry.members.eligible(entry.views)

    def view_of(name: str):
        if name not in eligible:
            return None
        view = entry.views[name]
        view.slow_start = entry.members.slow_start(name, now)
        return view

    job = Job(
        root=ticket.root,
        tokens=ticket.req.tokens,
        wait_s=ticket.deadline - now,
        priority=ticket.req.shape.priority,
        zone="",
        avoid=frozenset(ticket.avoid),
    )
    rates = world.configured_rates
    link = LinkView(rates[Tier.MEMORY], rates[Tier.DISK], TOKEN_BYTES)
    placed = place(
        job,
        entry.ring,
        view_of,
        entry.cache_estimates,
        link,
        world.weights,
        now,
    )
    if isinstance(placed, Placement):
        entry.sent(placed.best.endpoint, placed.best.recomputed, now)
        return placed.best.endpoint
    return placed


def _sticky(world: "World", entry: "Entry", ticket: "Ticket") -> str | Failure:
    pool = set(_pool(entry, ticket))
    for name in entry.ring.candidates(ticket.root, len(entry.views)):
        if name in pool:
            return name
    return failed(Code.NO_ENDPOINT)


def _least_loaded(
    world: "World", entry: "Entry", ticket: "Ticket"
) -> str | Failure:
    pool = _pool(entry, ticket)
    if not pool:
        return failed(Code.NO_ENDPOINT)

    def load(name: str) -> tuple[int, str]:
        view = entry.views[name]
        return (view.running + view.queued + view.own_attempts, name)

    name = min(pool, key=load)
    entry.sent(name, ticket.req.tokens, world.loop.now)
    return name


def _random(world: "World", entry: "Entry", ticket: "Ticket") -> str | Failure:
    pool = _pool(entry, ticket)
    random: Random = entry.random
    return random.choice(pool) if pool else failed(Code.NO_ENDPOINT)


def _clairvoyant(
    world: "World", entry: "Entry", ticket: "Ticket"
) -> str | Failure:
    """Chooses by the true state of every endpoint, link and store.

    It also knows when each prompt returns. It decides request by request,
    which alone would not make it a bound, since a choice that is best for
    one request can be in the way of the next; so its reads never wait for
    each other and its engines prefill a twentieth faster.
    """
    usable = [
        name
        for name, sidecar in world.sidecars.items()
        if sidecar.takes_work and name not in ticket.avoid
    ]
    if not usable:
        return failed(Code.NO_ENDPOINT)
    return min(usable, key=lambda name: (world.true_cost(name, ticket), name))


class Policy(msgspec.Struct, frozen=True):
    """One way to decide.

    Attributes:
      keep: the keeper's way.
      weighs_reads: whether a read is weighed against recomputing; others
        read whatever is stored.
      bound: whether it sees the true state and has the bound's allowances.
    """

    name: str
    choose: Chooser
    keep: str = "lru"
    weighs_reads: bool = False
    bound: bool = False


_ALL = (
    Policy("magnolialug", _magnolialug, "worth", weighs_reads=True),
    Policy("sticky", _sticky),
    Policy("least_loaded", _least_loaded),
    Policy("random", _random),
    Policy(
        "clairvoyant", _clairvoyant, "future", weighs_reads=True, bound=True
    ),
)
POLICIES: dict[str, Policy] = {policy.name: policy for policy in _ALL}
