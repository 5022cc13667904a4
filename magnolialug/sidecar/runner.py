"""Runs one attempt: import, hand-over, stream, export."""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.attempt import Attempt, AttemptState
from magnolialug.config.current import Current
from magnolialug.events import Event, emit
from magnolialug.ids import TeamId, WeightVersion
from magnolialug.metrics import Metrics
from magnolialug.policy.blocks import BLOCK_TOKENS, block_chain, chain_seed
from magnolialug.policy.eviction import ReturnIntervals, chance_from_intervals
from magnolialug.policy.gate import Gate
from magnolialug.policy.linkestimator import import_is_cheaper
from magnolialug.policy.load import merge_tokens
from magnolialug.policy.placement import Weights
from magnolialug.policy.slots import in_time
from magnolialug.policy.storedblock import BlockMeta
from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar.engine import Engine, EngineJob, Run, Usage
from magnolialug.sidecar.item import Item
from magnolialug.sidecar.mover import Moved, Mover
from magnolialug.sidecar.speed import Speed
from magnolialug.wire.messages import Done, Outcome

__all__ = ["Owner", "Runner"]

_SEEN_LIMIT = 100_000


class Owner(Protocol):
    """What a runner needs of its sidecar."""

    clock: IReactorTime
    current: Current
    gate: Gate
    metrics: Metrics
    speed: Speed

    def ended(self, item: Item) -> None:
        """Takes back a slot."""

    def refuse_run(self, item: Item, failure: Failure) -> None:
        """Refuses an attempt that was not handed over."""


class _Seen(msgspec.Struct):
    at: float
    visits: int


class Runner:
    """Runs attempts at one endpoint.

    Attributes:
      filled: prompt tokens put into the engine's cache so far.
      epoch: stays 0 within an incarnation; engines' events are not read.
      weights: the weight version in force, "" for a plain service.
      exporting: exports in progress, which hold no slot.
      prefilling: prompt tokens handed over that have no first word yet, by
        priority.
    """

    def __init__(
        self,
        owner: Owner,
        engine: Engine,
        mover: Mover,
        wall: Callable[[], float],
    ):
        self._owner = owner
        self._engine = engine
        self._mover = mover
        self._wall = wall
        self._runs: dict[tuple, tuple[Run, bool]] = {}
        self._gaps = ReturnIntervals()
        mover.chance_of = chance_from_intervals(self._gaps, self._in_force)
        self._seen: dict[str, _Seen] = {}
        self.filled = 0
        self.epoch = 0
        self.weights = ""
        self.exporting = 0
        self.prefilling: Counter[int] = Counter()

    def weights_of(self, model: str) -> str:
        """Returns the version that new requests for a model must name."""
        models = self._owner.current.deployment.models
        return models[model].weights if model in models else ""

    def abandon(self, attempt: Attempt) -> None:
        """Ends an idempotent run that nobody waits for.

        A non-idempotent run goes on: a duplicate may ask for its answer.
        """
        run, idempotent = self._runs.get(attempt.key, (None, False))
        if run and idempotent:
            run.cancel()

    async def run(self, item: Item) -> None:
        """Runs an attempt that has a slot, and gives the slot back."""
        started = self._owner.clock.seconds()
        try:
            await self._run(item)
        finally:
            self._owner.speed.ran(self._owner.clock.seconds() - started)
            self._owner.ended(item)

    async def fetch(self, item: Item) -> None:
        """Brings an attempt's cache to its engine, before it has a slot."""
        dispatch = item.dispatch
        seed = chain_seed(
            TeamId(item.attempt.team),
            dispatch.model,
            WeightVersion(dispatch.weights),
        )
        item.salt = seed.hex()
        if not dispatch.model:
            return
        item.chain = block_chain(seed, dispatch.body)
        held = await self._engine.held(item.chain)
        held = 0 if isinstance(held, Failure) else held
        item.moved = await self._mover.bring(
            dispatch.root, item.chain, held, self._pays
        )
        item.held = held + item.moved.blocks

    async def _run(self, item: Item) -> None:
        now = self._owner.clock.seconds()
        left = max(0, item.tokens - item.held * BLOCK_TOKENS)
        waiting = merge_tokens((), self.prefilling)
        before = sum(waiting[: item.kind.priority + 1]) + left
        rate = self._owner.speed.prefill_rate
        if not in_time(now, item.deadline, before, rate):
            self._owner.refuse_run(
                item, failed(Code.WAIT_EXCEEDED, retry_after_s=1.0)
            )
            return
        if not self._owner.gate.hand_over(item.attempt, now):
            return
        emit(Event.ATTEMPT_HANDED_OVER, request=item.attempt.request_id)
        self.prefilling[item.kind.priority] += left
        first, usage = await self._stream(item, left)
        self._finish(item, usage, first, now)
        if isinstance(usage, Usage) and item.chain:
            ensureDeferred(self._export(item))

    def _pays(self, tokens: int, size: int, read_s: float) -> bool:
        measures = self._owner.current.deployment.measures
        return import_is_cheaper(
            tokens,
            size,
            read_s,
            self._owner.speed.prefill_rate,
            Weights(measures.ttft, measures.recompute, measures.link),
        )

    def _in_force(self, weights: str) -> bool:
        model, _, version = weights.rpartition("@")
        return self.weights_of(model) == version

    async def _stream(self, item: Item, left: int):
        dispatch = item.dispatch
        clock = self._owner.clock
        limit = self._owner.current.deployment.limits.answer_bytes
        first: list[float] = []

        def piece(text: str) -> None:
            if not first:
                first.append(clock.seconds())
                self.prefilling[item.kind.priority] -= left
            item.answer.add(text)
            if item.answer.size > limit:
                run.cancel()

        job = EngineJob(
            kind=dispatch.kind,
            model=dispatch.model,
            weights=dispatch.weights,
            body=dispatch.body,
            salt=item.salt,
            max_tokens=dispatch.max_tokens,
            priority=item.kind.priority,
            resume_after=dispatch.resume_after,
            resume_text=dispatch.resume_text,
            params=dispatch.params,
            max_bytes=limit,
        )
        run = self._engine.start(job, piece)
        self._runs[item.attempt.key] = (run, dispatch.idempotent)
        item.answer.on_pause = run.pause
        item.answer.on_resume = run.resume
        usage = await run.done
        if not first:
            self.prefilling[item.kind.priority] -= left
        del self._runs[item.attempt.key]
        if item.answer.size > limit:
            usage = failed(Code.ANSWER_TOO_LARGE, value=item.answer.size)
        return (first[0] if first else clock.seconds()), usage

    def _finish(
        self,
        item: Item,
        usage: Usage | Failure,
        first: float,
        handed: float,
    ) -> None:
        owner = self._owner
        attempt = item.attempt
        now = owner.clock.seconds()
        if isinstance(usage, Failure):
            owner.gate.end(attempt, now, usage)
            emit(Event.ATTEMPT_ENDED, request=attempt.request_id, ok=False)
            item.answer.finish(
                Outcome(
                    attempt,
                    AttemptState.FAILED,
                    usage.code.value,
                    usage.reason,
                )
            )
            return
        owner.gate.end(attempt, now)
        recomputed = max(0, usage.prompt_tokens - usage.cached_tokens)
        moved = item.moved
        imported = moved.blocks * BLOCK_TOKENS
        owner.speed.prefilled(recomputed, first - handed)
        self.filled += recomputed + imported
        self._count(usage, recomputed, moved, first - item.arrived)
        emit(
            Event.ATTEMPT_ENDED,
            request=attempt.request_id,
            ok=True,
            prompt_tokens=usage.prompt_tokens,
            recomputed=recomputed,
            imported=imported,
        )
        item.answer.finish(
            Done(
                attempt=attempt,
                last_seq=item.answer.last_seq,
                prompt_tokens=usage.prompt_tokens,
                recomputed_tokens=recomputed,
                imported_tokens=imported,
                stored_tokens=imported,
                ttft_s=first - item.arrived,
                finish=usage.finish,
            )
        )

    def _count(
        self, usage: Usage, recomputed: int, moved: Moved, ttft_s: float
    ) -> None:
        metrics = self._owner.metrics
        metrics.ttft.record(ttft_s)
        metrics.prompt_tokens.add(usage.prompt_tokens)
        metrics.recomputed_tokens.add(recomputed)
        if moved.tier:
            metrics.link_bytes.add(
                moved.size, {"tier": moved.tier.value, "way": "in"}
            )

    async def _export(self, item: Item) -> None:
        dispatch = item.dispatch
        meta = self._meta(item, dispatch.root)
        self.exporting += 1
        kept = await self._mover.keep(dispatch.root, item.chain, meta)
        self.exporting -= 1
        if kept.size:
            self._owner.metrics.link_bytes.add(kept.size, {"way": "out"})

    def _meta(self, item: Item, root: str) -> BlockMeta:
        now = self._wall()
        kind = f"{item.attempt.team}/{item.dispatch.kind}"
        keys = (item.dispatch.kind, kind, root)
        horizon = self._gaps.horizon_s(item.dispatch.kind)
        seen = self._seen.pop(root, None)
        self._gaps.record_visit(keys, now - seen.at if seen else None)
        visits = seen.visits + 1 if seen else 1
        self._seen[root] = _Seen(now, visits)
        if len(self._seen) > _SEEN_LIMIT:
            del self._seen[next(iter(self._seen))]
        return BlockMeta(
            kind=kind,
            root=root,
            weights=f"{item.dispatch.model}@{item.dispatch.weights}",
            work_s=BLOCK_TOKENS / self._owner.speed.prefill_rate,
            used_at=now,
            visits=visits,
            chance=self._gaps.chance(keys, 0.0, horizon),
        )
