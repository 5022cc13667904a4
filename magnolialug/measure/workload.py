"""The users' workloads as lists of requests, from a seed."""

from random import Random

import msgspec

__all__ = ["WORKLOADS", "Req", "Shape", "Workload"]


class Shape(msgspec.Struct, frozen=True):
    """What requests of a kind are like.

    Attributes:
      tokens: least and greatest prompt length.
      output: tokens of the answer.
    """

    name: str
    tokens: tuple[int, int]
    output: int
    priority: int
    wait_s: float


class Req(msgspec.Struct, frozen=True):
    """One request: when, who, and which prompt at which length."""

    number: int
    at: float
    team: str
    shape: Shape
    root: str
    tokens: int
    hot: bool = False


class Workload(msgspec.Struct, frozen=True):
    """Requests, and the fleet at the brief's size.

    Attributes:
      weights: (ttft, recompute, link), as the deployments' files say.
      warm_s: requests before that fill the caches and are not counted.
      fault_s: when faults strike.
    """

    name: str
    reqs: list[Req]
    engines: int
    prefill_rate: float
    piece_s: float
    cache_tokens: int
    weights: tuple[float, float, float]
    warm_s: float
    fault_s: float


_SUMMARY = Shape("listing-summary", (4000, 16_000), 600, 1, 30.0)
_CHECK = Shape("match-check", (200, 600), 4, 0, 3.0)
_QUESTION = Shape("renter-question", (300, 900), 120, 0, 5.0)
_BRIEFING = Shape("river-briefing", (6000, 12_000), 600, 1, 20.0)
_GROWTH = (0, 400)
_LISTINGS_S = 5400.0
_WARM_S = 1800.0
_DOSSIERS = 900
_NEW_RATE = 0.06
_ONCE = 0.3
_RETURNS = 0.95
_GAP_LOG_S = 7.0
_DAY_S = 86_400.0
_DAWN_S = 900.0
_DAYS = 3


def _teams(random: Random) -> str:
    """Ten teams, two of them large."""
    number = random.randrange(10)
    if random.random() < 0.5:
        number = random.randrange(2)
    return f"team-{number}"


def _listings(
    seed: int, load: float, hot: bool, length: float = 1.0
) -> Workload:
    """Dossiers that return; hours are compressed to tens of minutes."""
    random = Random(f"listings-{seed}")
    end_s = _WARM_S + (_LISTINGS_S - _WARM_S) * length
    reqs: list[Req] = []
    starts = [(random.uniform(0, _WARM_S), False) for _ in range(_DOSSIERS)]
    at = 0.0
    while at < end_s:
        at += random.expovariate(_NEW_RATE * load)
        starts.append((at, random.random() < _ONCE))
    for number, (when, once) in enumerate(starts):
        root = f"dossier-{number}"
        tokens = random.randint(*_SUMMARY.tokens)
        team = _teams(random)
        while when < end_s:
            reqs.append(Req(0, when, team, _SUMMARY, root, tokens))
            if once or random.random() > _RETURNS:
                break
            when += random.lognormvariate(_GAP_LOG_S, 0.6) / load
            tokens += random.randint(*_GROWTH)
    _short(reqs, random, _CHECK, 2.0 * load, 0.0, end_s)
    if hot:
        _hot(reqs, random, _SUMMARY, 0.5, _LISTINGS_S / 2, 600.0)
    return Workload(
        "listings",
        _numbered(reqs),
        6,
        4000.0,
        0.025,
        60_000,
        (1.0, 1.0, 0.02),
        _WARM_S,
        _LISTINGS_S / 2,
    )


def _coop(seed: int, load: float, hot: bool, length: float = 1.0) -> Workload:
    """Three dawns: a burst of questions, and the briefings of each guide."""
    random = Random(f"coop-{seed}")
    reqs: list[Req] = []
    guides = [
        (f"briefing-{n}", _teams(random), random.randint(*_BRIEFING.tokens))
        for n in range(int(300 * load))
    ]
    for day in range(_DAYS if length == 1.0 else _DAYS - 1):
        dawn = day * _DAY_S
        for root, team, tokens in guides:
            when = dawn + 200 + abs(random.gauss(0, 200))
            reqs.append(Req(0, when, team, _BRIEFING, root, tokens + day * 50))
        _short(reqs, random, _QUESTION, 4.0 * load, dawn, _DAWN_S)
    if hot:
        _hot(reqs, random, _BRIEFING, 0.5, _DAY_S + 300, 600.0)
    return Workload(
        "coop",
        _numbered(reqs),
        5,
        4000.0,
        0.025,
        40_000,
        (3.0, 0.1, 0.02),
        _DAWN_S,
        _DAY_S + 250,
    )


def _short(
    reqs: list[Req],
    random: Random,
    shape: Shape,
    rate: float,
    start: float,
    length_s: float,
) -> None:
    at = start
    count = 0
    while at < start + length_s:
        at += random.expovariate(rate)
        count += 1
        tokens = random.randint(*shape.tokens)
        root = f"{shape.name}-{start:.0f}-{count}"
        reqs.append(Req(0, at, _teams(random), shape, root, tokens))


def _hot(
    reqs: list[Req],
    random: Random,
    shape: Shape,
    rate: float,
    start: float,
    length_s: float,
) -> None:
    at = start
    while at < start + length_s:
        at += random.expovariate(rate)
        reqs.append(Req(0, at, "team-0", shape, "hot", 9000, True))


def _numbered(reqs: list[Req]) -> list[Req]:
    reqs.sort(key=lambda req: (req.at, req.root))
    return [
        msgspec.structs.replace(req, number=number)
        for number, req in enumerate(reqs)
    ]


WORKLOADS = {"listings": _listings, "coop": _coop}
