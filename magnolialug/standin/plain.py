"""A plain service whose calls may not be repeated."""

from collections import Counter
from collections.abc import Callable

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.server import Request

from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar.engine import EngineJob, Usage
from magnolialug.standin.web import Face
from magnolialug.timing import sleep

__all__ = ["PlainStandin", "plain_face"]


class _Run:
    """One call; once started it runs to its end, whoever leaves."""

    def __init__(self) -> None:
        self.done: Deferred[Usage | Failure] = Deferred()

    def pause(self) -> None:
        """Has nothing to pause."""

    def resume(self) -> None:
        """Has nothing to resume."""

    def cancel(self) -> None:
        """Stops waiting for the answer."""
        if not self.done.called:
            self.done.callback(failed(Code.CANCELLED))


class PlainStandin:
    """Implements Engine directly and counts the runs of each body."""

    def __init__(self, clock: IReactorTime, work_s: float = 0.05):
        self.clock = clock
        self.work_s = work_s
        self.runs: Counter[str] = Counter()

    def start(self, job: EngineJob, on_piece: Callable[[str], None]) -> _Run:
        """Runs the call."""
        run = _Run()
        number = self.count(job.kind, job.body)

        def finish() -> None:
            if not run.done.called:
                on_piece(self.answer(job.kind, job.body, number))
                run.done.callback(Usage(1, 0, 1))

        self.clock.callLater(self.work_s, finish)
        return run

    def count(self, kind: str, body: str) -> int:
        """Counts a run of a body and returns its number."""
        self.runs[f"{kind}:{body}"] += 1
        return self.runs[f"{kind}:{body}"]

    def answer(self, kind: str, body: str, number: int) -> str:
        """Returns the answer's JSON."""
        result = {"kind": kind, "echo": body, "run": number}
        return msgspec.json.encode(result).decode()

    async def held(self, ids: list) -> int | Failure:
        """Returns 0."""
        return 0

    async def export_block(self, block) -> bytes | Failure:
        """Has no blocks."""
        return failed(Code.BLOCK_MISSING)

    async def import_block(self, block, data: bytes) -> None | Failure:
        """Takes no blocks."""
        return failed(Code.BLOCK_MISSING)

    async def order(self, order) -> None | Failure:
        """Takes no orders."""
        return failed(Code.FENCED)


def plain_face(service: PlainStandin) -> Face:
    """Returns the HTTP resource of a plain service."""

    async def handle(method: str, parts: list[str], req: Request, data: bytes):
        body = data.decode()
        number = service.count(parts[-1], body)
        await sleep(service.clock, service.work_s)
        return 200, service.answer(parts[-1], body, number).encode()

    return Face(handle)
