"""What one more team, prompt, endpoint, request or token costs here."""

import subprocess
import sys
from random import Random

import msgspec
from loguru import logger
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from magnolialug.attempt import Attempt
from magnolialug.config.current import Current, make_doc
from magnolialug.config.deployment import (
    Deployment,
    from_text,
    hash_key,
    to_text,
)
from magnolialug.confstore import apply_text
from magnolialug.entry.call import PromptCall
from magnolialug.entry.claims import ClaimStore
from magnolialug.events import Event, emit
from magnolialug.measure.gatewayslopes import gateway_slopes
from magnolialug.measure.relay import STATUS, Transport, relay_slopes
from magnolialug.measure.slope import Slope, bytes_each, micros_each
from magnolialug.policy.admission import Admission, Limit
from magnolialug.policy.blocks import block_chain, prompt_root
from magnolialug.policy.cacheestimates import (
    CacheEstimates,
    EngineCacheEstimate,
    StoreCacheEstimate,
)
from magnolialug.policy.fairqueue import FairQueue
from magnolialug.policy.gate import Gate
from magnolialug.policy.load import EndpointView
from magnolialug.policy.placement import Job, LinkView, Weights, place
from magnolialug.policy.ring import Ring
from magnolialug.standin.kv import KvStore
from magnolialug.wire import messages as msg
from magnolialug.wire.link import Link

__all__ = ["measure_slopes", "placement_growth"]

_TEAMS = 2000
_PROMPTS = 20_000
_ENDPOINTS = 500
_LINK = LinkView(1e9, 2e8, 131072)


def _attempt(number: int) -> Attempt:
    return Attempt("team-1", f"model-1.{number:032x}", 1, "a" * 16, 1.0)


def _many_teams(base: Deployment, count: int) -> Deployment:
    team = next(iter(base.teams.values()))
    teams = {
        f"team-{n:05d}": msgspec.structs.replace(
            team, key_hashes=(hash_key(f"key-{n}"),)
        )
        for n in range(count)
    }
    return msgspec.structs.replace(base, teams=teams)


def _in_force(text: str) -> tuple:
    """Returns what an entry keeps of a configuration."""
    current = Current()
    current.offer(make_doc(1, text))
    return current, current.deployment.teams_by_key()


def _text_bytes(base: Deployment) -> Slope:
    few, many = (len(to_text(_many_teams(base, n))) for n in (10, 1010))
    size = (many - few) / 1000
    return Slope("team in a configuration's text", "B", size, size, size)


def _views(count: int) -> dict:
    return {
        f"endpoint-{n:04d}": EndpointView(
            f"endpoint-{n:04d}", "zone", 8, 60_000
        )
        for n in range(count)
    }


def _beliefs(count: int) -> CacheEstimates:
    cache_estimates = CacheEstimates(count)
    for number in range(count):
        root = prompt_root("team", str(number))
        cache_estimates.record_engine(
            root,
            f"endpoint-{number % 100:04d}",
            EngineCacheEstimate(6000, 0, 0),
        )
        cache_estimates.record_store(root, StoreCacheEstimate(6000, True))
    return cache_estimates


def _gate(count: int) -> Gate:
    gate = Gate("a" * 16)
    for number in range(count):
        attempt = _attempt(number)
        gate.dispatch(attempt, 1.0)
        gate.hand_over(attempt, 1.0)
        gate.end(attempt, 1.0)
    return gate


def _links(count: int) -> list:
    links = [Link(Clock()) for _ in range(count)]
    for link in links:
        link.makeConnection(Transport())
    return links


def _memory(base: Deployment) -> list[Slope]:
    return [
        bytes_each(
            "team in a configuration",
            lambda n: _in_force(to_text(_many_teams(base, n))),
            _TEAMS,
        ),
        bytes_each("prompt known to an entry", _beliefs, _PROMPTS),
        bytes_each(
            "endpoint: view and ring points",
            lambda n: (_views(n), Ring(_views(n))),
            _ENDPOINTS,
        ),
        bytes_each("attempt remembered by a sidecar", _gate, 5000),
        bytes_each("link object (without the socket)", _links, 1000),
    ]


def placement_growth(endpoints: int, prompts: int) -> Slope:
    """Returns the cost of one placement at a size."""
    views = _views(endpoints)
    ring = Ring(views)
    cache_estimates = _beliefs(prompts)
    numbers = Random(1)
    weights = Weights()

    def step() -> None:
        root = prompt_root("team", str(numbers.randrange(prompts)))
        job = Job(root, 6000, 30.0, 1, "zone")
        place(job, ring, views.get, cache_estimates, _LINK, weights, 0.0)

    name = f"placement, {endpoints} endpoints, {prompts} prompts"
    return micros_each(name, step, 500)


def _processor(base: Deployment) -> list[Slope]:
    ping = msg.encode(msg.Ping(7, 1.0))
    status = msg.encode(STATUS)
    ring = Ring(_views(2000))
    admission = Admission()
    limit = Limit(1e9, 1_000_000)
    queue: FairQueue = FairQueue(10_000)
    gate = Gate("a" * 16)
    numbers = iter(range(100_000_000))
    prompt = "word " * 4800
    text = to_text(_many_teams(base, 25_000))

    def gate_step() -> None:
        attempt = _attempt(next(numbers))
        gate.dispatch(attempt, 1.0)
        gate.hand_over(attempt, 1.0)
        gate.end(attempt, 1.0)

    def queue_step() -> None:
        queue.push(object(), f"team-{next(numbers) % 50}", 900, 1, 1.0)
        if len(queue) > 100:
            queue.pop()

    logger.add(lambda line: None, serialize=True)

    def log_step() -> None:
        emit(Event.PLACED, team="t", kind="k", root="r", endpoint="e")

    line = micros_each("log line, JSON", log_step, 2000)
    logger.remove()
    return [
        line,
        micros_each("admission of a request", _admit(admission, limit), 5000),
        micros_each(
            "ring candidates, 2,000 endpoints",
            lambda: ring.candidates(str(next(numbers)), 3),
            2000,
        ),
        micros_each("gate: dispatch, hand-over, end", gate_step, 2000),
        micros_each("fair queue: push and pop at 100", queue_step, 2000),
        micros_each(
            "block chain of a 6,000-token prompt",
            lambda: block_chain(b"k" * 32, prompt),
            200,
        ),
        micros_each("bearer key to team", lambda: hash_key("key-77"), 5000),
        micros_each("heartbeat decoded", lambda: msg.decode(ping), 5000),
        micros_each("status encoded", lambda: msg.encode(STATUS), 5000),
        micros_each("status decoded", lambda: msg.decode(status), 5000),
        micros_each(
            "ring of 2,000 endpoints rebuilt", lambda: Ring(_views(2000)), 1, 3
        ),
        micros_each(
            "configuration of 25,000 teams read", lambda: from_text(text), 1, 5
        ),
    ]


def _admit(admission: Admission, limit: Limit):
    def step() -> None:
        admission.admit("team", limit, 1.0)
        admission.release("team")

    return step


def _kv_calls(base: Deployment) -> list[Slope]:
    clock = Clock()
    kv = KvStore(clock)
    claims = ClaimStore(kv, clock, Random(1), 86400.0)
    kind = base.services["booking"].kinds["book"]
    counts = {}

    def count(name: str, work) -> None:
        before = sum(kv.calls.values())
        ensureDeferred(work)
        counts[name] = sum(kv.calls.values()) - before

    def call(key: str) -> PromptCall:
        return PromptCall(
            team="members",
            service="booking",
            kind_name="book",
            kind=kind,
            model="",
            weights="",
            body="{}",
            max_tokens=1,
            root="",
            key=key,
            deadline=9,
            arrived=0,
        )

    async def booking(key: str) -> None:
        one = call(key)
        mine = claims.new_claim(one, "booking-1", _attempt(1))
        held = await claims.acquire(one, mine, 0)
        await claims.store_answer(one, held, "{}")

    ensureDeferred(booking("warm-up"))
    count("non-idempotent request", booking("a"))
    count("duplicate of an answered one", booking("a"))
    text = to_text(base)
    count(
        "configuration change (applying)",
        apply_text(kv, text, 0, "c", "me", clock.seconds),
    )
    return [
        Slope(name, "calls", value, value, value)
        for name, value in counts.items()
    ]


def _resident(module: str) -> Slope:
    """Returns the memory of a process that only imports a module."""
    code = (
        f"import {module};"
        "rows = open('/proc/self/status').read().splitlines();"
        "print(*[r.split()[1] for r in rows if r.startswith('VmRSS')])"
    )
    figures = []
    for _ in range(3):
        run = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
        )
        figures.append(int(run.stdout) / 1024)
    figures.sort()
    name = f"process that imported {module}"
    return Slope(name, "MB", figures[1], figures[0], figures[2])


def _wire_sizes() -> list[Slope]:
    sizes = {
        "heartbeat of an entry on the wire": msg.Ping(7, 1764700000.5),
        "status of a sidecar on the wire": STATUS,
        "token on the wire": msg.Token(_attempt(1), 77, "word "),
    }
    return [
        Slope(name, "B", size, size, size)
        for name, message in sizes.items()
        for size in [len(msg.encode(message)) + 4]
    ]


def measure_slopes(base: Deployment) -> list[Slope]:
    """Returns every slope; base is the deployment whose shapes are used."""
    growth = [
        placement_growth(endpoints, prompts)
        for endpoints, prompts in (
            (10, 1000),
            (100, 1000),
            (2000, 1000),
            (2000, 300_000),
        )
    ]
    resident = [
        _resident(name)
        for name in (
            "sys",
            "twisted.internet.reactor",
            "opentelemetry.sdk.metrics",
            "magnolialug.cmd.sidecar",
            "magnolialug.cmd.entry",
            "magnolialug.entry.gateway",
        )
    ]
    return [
        *resident,
        *_memory(base),
        *_wire_sizes(),
        _text_bytes(base),
        *growth,
        *_processor(base),
        *relay_slopes(base),
        *gateway_slopes(),
        *_kv_calls(base),
    ]
