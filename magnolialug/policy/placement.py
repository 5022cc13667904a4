"""Selects the endpoint for a prompt and the source of its cached tokens."""

import enum
from collections.abc import Callable

import msgspec

from magnolialug.ids import EndpointId, ZoneId
from magnolialug.policy.cacheestimates import CacheEstimates, StoreCacheEstimate
from magnolialug.policy.load import EndpointView, queue_seconds
from magnolialug.policy.ring import Ring
from magnolialug.result import Code, Failure, failed

__all__ = [
    "Cost",
    "Job",
    "LinkView",
    "Placement",
    "Source",
    "Weights",
    "cost_at",
    "place",
]

_FIRST_CANDIDATES = 3
_SPILL_QUEUE_S = 0.25
_RING_RANK_PENALTY_S = 0.01
_MIN_RETRY_AFTER_S = 0.5


class Source(enum.Enum):
    """Expected source of most of a prompt's cached tokens."""

    ENGINE = "engine"
    MEMORY = "memory"
    DISK = "disk"
    RECOMPUTE = "recompute"


class Weights(msgspec.Struct, frozen=True):
    """Weights of the operators' measures in the cost.

    Attributes:
      ttft: cost per second until the first token.
      recompute: cost per thousand prompt tokens recomputed.
      link: cost per gigabyte transferred over a store link.
    """

    ttft: float = 1.0
    recompute: float = 0.1
    link: float = 0.02


class LinkView(msgspec.Struct):
    """The estimated state of the links to a store.

    Attributes:
      memory_rate: bytes per second from memory.
      disk_rate: bytes per second from disk.
      memory_wait_s: queueing time of a new read from memory.
      disk_wait_s: queueing time of a new read from disk.
      token_bytes: cache bytes per prompt token.
    """

    memory_rate: float
    disk_rate: float
    token_bytes: int
    memory_wait_s: float = 0.0
    disk_wait_s: float = 0.0


class Job(msgspec.Struct, frozen=True):
    """The properties of a request that determine its placement.

    Attributes:
      root: the prompt's root id, which is its key on the ring.
      tokens: prompt length in tokens.
      wait_s: time left for the first token, in seconds.
      zone: the entry's zone.
      avoid: endpoints that already refused it.
    """

    root: str
    tokens: int
    wait_s: float
    priority: int
    zone: ZoneId
    weights: str = ""
    avoid: frozenset[EndpointId] = frozenset()


class Cost(msgspec.Struct, frozen=True):
    """The expected cost of one option to serve a job."""

    endpoint: EndpointId
    source: Source
    ttft_s: float
    queue_s: float
    recomputed: int
    moved_bytes: int
    cost: float


class Placement(msgspec.Struct, frozen=True):
    """The chosen option, and those that it was compared with."""

    best: Cost
    compared: tuple[Cost, ...]
    reason: str


def cost_at(
    view: EndpointView,
    cached: int,
    stored: StoreCacheEstimate | None,
    job: Job,
    link: LinkView,
    weights: Weights,
    now: float,
) -> Cost:
    """Returns the minimum cost of serving a job at an endpoint.

    Importing p of the stored tokens takes p*bytes/rate and saves
    p/prefill_rate, both linear in p. So the minimum is at one of the
    extremes: importing all stored tokens, or none.
    """
    queue_s = queue_seconds(view, job.priority, now)
    options = [
        _option(view, Source.RECOMPUTE, 0, 0.0, 0, queue_s, job, weights)
    ]
    if cached:
        options.append(
            _option(view, Source.ENGINE, cached, 0.0, 0, queue_s, job, weights)
        )
    if stored and stored.tokens > cached:
        moved = (stored.tokens - cached) * link.token_bytes
        if stored.in_memory:
            source = Source.MEMORY
            link_s = link.memory_wait_s + moved / link.memory_rate
        else:
            source = Source.DISK
            link_s = link.disk_wait_s + moved / link.disk_rate
        options.append(
            _option(
                view,
                source,
                stored.tokens,
                link_s,
                moved,
                queue_s,
                job,
                weights,
            )
        )
    return min(options, key=lambda option: option.cost)


def _option(
    view: EndpointView,
    source: Source,
    held: int,
    link_s: float,
    moved: int,
    queue_s: float,
    job: Job,
    weights: Weights,
) -> Cost:
    recomputed = max(0, job.tokens - held)
    ttft_s = queue_s + link_s + recomputed / view.prefill_rate
    cost = (
        weights.ttft * ttft_s
        + weights.recompute * recomputed / 1e3
        + weights.link * moved / 1e9
    )
    return Cost(view.endpoint, source, ttft_s, queue_s, recomputed, moved, cost)


def place(
    job: Job,
    ring: Ring,
    view_of: Callable[[EndpointId], EndpointView | None],
    cache_estimates: CacheEstimates,
    link: LinkView,
    weights: Weights,
    now: float,
) -> Placement | Failure:
    """Chooses an endpoint for a job.

    The prompt's first candidates on the ring are compared with the endpoints
    that are recorded as having it cached. While even the shortest queue among
    them is longer than _SPILL_QUEUE_S, the number of candidates is doubled, so
    that one hot prompt cannot overload its endpoints.

    Args:
      view_of: returns an endpoint's view, or None if it may not be used.

    Returns:
      the placement, or a failure NO_ENDPOINT or WAIT_EXCEEDED, both not run.
    """
    stored = cache_estimates.store(job.root)
    costs: dict[EndpointId, Cost] = {}
    count = _FIRST_CANDIDATES
    while True:
        names = ring.candidates(job.root, count)
        for name in names + cache_estimates.cached_endpoints(job.root):
            view = None if name in job.avoid else view_of(name)
            if view is None or name in costs:
                continue
            if job.weights and view.weights and view.weights != job.weights:
                continue
            cached = cache_estimates.engine_tokens(
                job.root, name, view.filled, view.epoch, view.cache_tokens
            )
            costs[name] = cost_at(view, cached, stored, job, link, weights, now)
        if count >= len(ring) or not _all_busy(costs):
            break
        count *= 2
    return _choose(job, names, costs, weights, count)


def _all_busy(costs: dict[EndpointId, Cost]) -> bool:
    return all(cost.queue_s > _SPILL_QUEUE_S for cost in costs.values())


def _choose(
    job: Job,
    names: list[EndpointId],
    costs: dict[EndpointId, Cost],
    weights: Weights,
    count: int,
) -> Placement | Failure:
    if not costs:
        return failed(Code.NO_ENDPOINT, retry_after_s=1.0)
    order = {name: place for place, name in enumerate(names)}
    penalty = _RING_RANK_PENALTY_S * weights.ttft

    def key(cost: Cost) -> tuple[float, str]:
        position = order.get(cost.endpoint, len(order))
        return (cost.cost + position * penalty, cost.endpoint)

    compared = tuple(sorted(costs.values(), key=key))
    soonest = min(compared, key=lambda cost: cost.ttft_s)
    if soonest.ttft_s > job.wait_s:
        late = soonest.ttft_s - job.wait_s
        return failed(
            Code.WAIT_EXCEEDED,
            f"first token expected in {soonest.ttft_s:.1f} s,"
            f" {job.wait_s:.1f} s allowed",
            retry_after_s=max(_MIN_RETRY_AFTER_S, late),
        )
    in_time = [cost for cost in compared if cost.ttft_s <= job.wait_s]
    spilled = count > _FIRST_CANDIDATES
    reason = (
        f"least cost of {len(compared)}, cache from {in_time[0].source.value}"
    )
    return Placement(
        in_time[0], compared, reason + (", spilled" if spilled else "")
    )
