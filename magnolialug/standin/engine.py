"""A model engine: serial prefill, batched decode, a limited prefix cache."""

from collections import OrderedDict
from collections.abc import Callable
from hashlib import blake2b

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.ids import BlockId
from magnolialug.policy.blocks import BLOCK_TOKENS, block_chain, token_count
from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar.engine import EngineJob, Order, Usage

__all__ = ["EngineSpec", "EngineStandin", "answer_piece", "block_bytes"]

_BLOCK_BYTES = 4096
_QUANTUM = 512


class EngineSpec(msgspec.Struct, frozen=True):
    """How fast and how large an engine is.

    Attributes:
      prefill_rate: prompt tokens a second, one prompt at a time.
      piece_s: time between two pieces of an answer.
      cache_tokens: prefix cache size.
      checks_fence: whether it refuses an old fence number.
    """

    prefill_rate: float = 4000.0
    piece_s: float = 0.01
    cache_tokens: int = 60_000
    checks_fence: bool = True


def answer_piece(body: str, number: int) -> str:
    """Returns piece number (from 1) of the only right answer to a prompt."""
    name = blake2b(body.encode(), digest_size=4).hexdigest()
    return f"{name}-{number} "


def block_bytes(block: BlockId) -> bytes:
    """Returns the only right bytes of a block."""
    unit = block.encode()
    return unit * (_BLOCK_BYTES // len(unit))


class _Run:
    """A run; its prompt waits for prefill, then pieces come on a timer."""

    def __init__(
        self,
        engine: "EngineStandin",
        job: EngineJob,
        on_piece: Callable[[str], None],
    ):
        self.done: Deferred[Usage | Failure] = Deferred()
        self.job = job
        self.chain = block_chain(bytes.fromhex(job.salt), job.body)
        self.tokens = token_count(job.body)
        self.cached = 0
        self.left = 0
        self.sent = job.resume_after
        self._engine = engine
        self._on_piece = on_piece
        self._paused = False
        self._timer = None

    def pause(self) -> None:
        """Stops the pieces."""
        self._paused = True

    def resume(self) -> None:
        """Lets the pieces come again."""
        if self._paused:
            self._paused = False
            self.decode()

    def cancel(self) -> None:
        """Ends the run."""
        self.end(failed(Code.CANCELLED))

    def decode(self) -> None:
        """Sends a piece and sets the timer for the next."""
        if self._paused or self.done.called or self.left:
            return
        if self._timer and self._timer.active():
            return
        if self.sent >= self.job.max_tokens:
            self.end(
                Usage(
                    self.tokens,
                    min(self.tokens, self.cached * BLOCK_TOKENS),
                    self.sent - self.job.resume_after,
                )
            )
            return
        self.sent += 1
        self._timer = self._engine.clock.callLater(
            self._engine.spec.piece_s, self.decode
        )
        self._on_piece(answer_piece(self.job.body, self.sent))

    def end(self, result: Usage | Failure) -> None:
        """Finishes the run, once."""
        if self._timer and self._timer.active():
            self._timer.cancel()
        self._engine.ended(self)
        if not self.done.called:
            self.done.callback(result)


class EngineStandin:
    """Implements Engine directly.

    Attributes:
      runs: how many runs were started.
      violations: imports of bytes that are not the block's own.
      weights: the version loaded last.
    """

    def __init__(self, clock: IReactorTime, spec: EngineSpec, weights="v1"):
        self.clock = clock
        self.spec = spec
        self.weights = weights
        self.runs = 0
        self.violations = 0
        self.prefilled = 0
        self._cache: OrderedDict[BlockId, None] = OrderedDict()
        self._waiting: list[_Run] = []
        self._running: list[_Run] = []
        self._busy = False
        self._fence = 0

    def start(self, job: EngineJob, on_piece: Callable[[str], None]) -> _Run:
        """Starts a run."""
        self.runs += 1
        run = _Run(self, job, on_piece)
        run.cached = self._held(run.chain)
        run.left = max(1, run.tokens - run.cached * BLOCK_TOKENS)
        self._waiting.append(run)
        self._prefill()
        return run

    async def held(self, ids: list[BlockId]) -> int | Failure:
        """Returns how many of the first ids are cached."""
        return self._held(ids)

    async def export_block(self, block: BlockId) -> bytes | Failure:
        """Returns a cached block's bytes."""
        if block not in self._cache:
            return failed(Code.BLOCK_MISSING, value=block)
        return block_bytes(block)

    async def import_block(self, block: BlockId, data: bytes) -> None | Failure:
        """Caches a block; counts bytes that are not its own."""
        if data != block_bytes(block):
            self.violations += 1
            return failed(Code.BLOCK_DAMAGED, value=block)
        self._insert([block])
        return None

    async def order(self, order: Order) -> None | Failure:
        """Loads weights; which empties the cache of no other version."""
        if self.spec.checks_fence and order.fence < self._fence:
            return failed(Code.FENCED, value=order.fence)
        self._fence = max(self._fence, order.fence)
        self.weights = order.weights
        return None

    def evict_all(self) -> None:
        """Empties the cache without telling anybody."""
        self._cache.clear()

    def ended(self, run: _Run) -> None:
        """Forgets a run, whose cache was pinned and is now the newest."""
        if run in self._waiting:
            self._waiting.remove(run)
        if run in self._running:
            self._running.remove(run)
            self._insert(run.chain)

    def _held(self, ids: list[BlockId]) -> int:
        count = 0
        for block in ids:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count

    def _insert(self, ids: list[BlockId]) -> None:
        for block in ids:
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) * BLOCK_TOKENS > self.spec.cache_tokens:
            self._cache.popitem(last=False)

    def _prefill(self) -> None:
        if self._busy or not self._waiting:
            return
        self._busy = True
        run = min(self._waiting, key=lambda run: run.job.priority)
        part = min(_QUANTUM, run.left)
        self.clock.callLater(
            part / self.spec.prefill_rate, self._prefilled, run, part
        )

    def _prefilled(self, run: _Run, part: int) -> None:
        self._busy = False
        run.left -= part
        self.prefilled += part
        if run in self._waiting and run.left <= 0:
            self._waiting.remove(run)
            self._running.append(run)
            self._insert(run.chain)
            run.decode()
        self._prefill()
