"""One round trip: a prompt in, out, evicted, and back through another entry."""

import secrets
import sys

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred

from magnolialug.platform.http import HttpClient, StreamTaker
from magnolialug.policy.blocks import BYTES_PER_TOKEN
from magnolialug.result import Code, Failure
from magnolialug.standin.engine import answer_piece
from magnolialug.timing import sleep

__all__ = ["run_demo"]

_PROMPT_TOKENS = 6000
_ANSWER_TOKENS = 12
_DUPLICATES = 4
_EXPORT_S = 10.0
_STEP_S = 0.05


class _Visit(msgspec.Struct):
    """What a streamed answer showed its caller."""

    ttft_s: float
    prompt_tokens: int
    recomputed_tokens: int
    imported_tokens: int


class _Caller:
    """Sends the demo's requests and checks each answer against its prompt."""

    def __init__(self, local):
        self.wrong_answers = 0
        self._http = HttpClient(reactor, Code.CONNECTION_REFUSED)
        self._local = local
        self._model = next(iter(local.platform.deployment.models))

    async def visit(self, entry: int, team: str, prompt: str) -> _Visit:
        """Sends a prompt and returns the figures of its streamed answer."""
        body = {
            "model": self._model,
            "prompt": prompt,
            "max_tokens": _ANSWER_TOKENS,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        started = reactor.seconds()
        arrivals: list[float] = []
        data = bytearray()
        ended: Deferred = Deferred()

        def take(part: bytes) -> None:
            arrivals.append(reactor.seconds())
            data.extend(part)

        self._http.stream(
            "POST",
            f"{self._local.urls[entry]}/v1/completions",
            msgspec.json.encode(body),
            StreamTaker(lambda status: None, take, ended.callback),
            {"Authorization": f"Bearer demo-{team}"},
        )
        await ended
        return self._read(bytes(data), prompt, arrivals[0] - started)

    async def book(self, entry: int, team: str, key: str) -> int:
        """Books once; returns the number of the run that answered."""
        service, kind = self._booking()
        reply = await self._http.ask(
            "POST",
            f"{self._local.urls[entry]}/v1/services/{service}/{kind}",
            msgspec.json.encode({"canoe": 7}),
            {"Authorization": f"Bearer demo-{team}", "Idempotency-Key": key},
        )
        if isinstance(reply, Failure) or reply.status != 200:
            raise RuntimeError(f"booking failed: {reply}")
        return msgspec.json.decode(reply.body)["run"]

    def _read(self, data: bytes, prompt: str, ttft_s: float) -> _Visit:
        lines = [x[6:] for x in data.split(b"\n") if x.startswith(b"data: {")]
        events = [msgspec.json.decode(line) for line in lines]
        texts = [
            choice["text"] for event in events for choice in event["choices"]
        ]
        expected = [answer_piece(prompt, n + 1) for n in range(_ANSWER_TOKENS)]
        if "".join(texts) != "".join(expected):
            self.wrong_answers += 1
        usage = events[-1]["usage"]
        details = usage["prompt_tokens_details"]
        return _Visit(
            round(ttft_s, 4),
            usage["prompt_tokens"],
            usage["prompt_tokens"] - details["cached_tokens"],
            details["imported_tokens"],
        )

    def _booking(self) -> tuple[str, str]:
        services = self._local.platform.deployment.services
        return next(
            (name, kind)
            for name, service in services.items()
            for kind, spec in service.kinds.items()
            if not spec.idempotent
        )


async def _exported(local) -> None:
    """Waits until the sidecars have exported what they want to keep."""
    limit = reactor.seconds() + _EXPORT_S
    while reactor.seconds() < limit:
        await sleep(reactor, _STEP_S)
        if not any(app.runner.exporting for app in local.sidecars.values()):
            return


async def _round_trip(local) -> dict:
    caller = _Caller(local)
    teams = list(local.platform.deployment.teams)
    word = secrets.token_hex(3) + " "
    repeat = _PROMPT_TOKENS * BYTES_PER_TOKEN // len(word)
    prompt = word * repeat
    first = await caller.visit(0, teams[0], prompt)
    await _exported(local)
    for engine in local.platform.engines.values():
        engine.evict_all()
    second = await caller.visit(1, teams[0], prompt)
    for engine in local.platform.engines.values():
        engine.evict_all()
    foreign = await caller.visit(1, teams[1], prompt)
    calls = [
        ensureDeferred(caller.book(n % 2, teams[0], "booking-1"))
        for n in range(_DUPLICATES)
    ]
    answers = await DeferredList(calls, consumeErrors=True)
    runs = sum(
        sum(plain.runs.values()) for plain in local.platform.plains.values()
    )
    lost = sum(1 for ok, run in answers if not ok or run != 1)
    torn = sum(e.violations for e in local.platform.engines.values())
    doubled = max(0, runs - 1)
    return {
        "first_visit": msgspec.to_builtins(first),
        "return_visit": msgspec.to_builtins(second),
        "booking": {"calls": _DUPLICATES, "runs": runs},
        "other_team_imported_tokens": foreign.imported_tokens,
        "violations": caller.wrong_answers + torn + doubled + lost,
    }


def run_demo(local) -> int:
    """Serves the round trip, prints its figures, returns the exit code.

    Args:
      local: a LocalDeployment that has not been started.
    """
    exits = [1]

    async def main() -> None:
        failure = await local.start()
        if failure:
            print(failure.reason)
        else:
            report = await _round_trip(local)
            await local.stop()
            print(msgspec.json.encode(report).decode(), flush=True)
            exits[0] = 1 if report["violations"] else 0
        reactor.stop()

    def crashed(reason) -> None:
        reason.printTraceback(file=sys.stderr)
        reactor.stop()

    reactor.callWhenRunning(lambda: ensureDeferred(main()).addErrback(crashed))
    reactor.run()
    return exits[0]
