"""Callers of servers that end answers early, and what they have seen.

Run as a module for a longer run: prints one line for each row.
"""

import asyncio
import enum
import itertools
import json
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator

import msgspec

from tests.cutservers import Case, answer, run_count
from tests.gatewayprocess import GatewayProcess, Limits, request

__all__ = ["Row", "Seen", "Verdict", "check_row", "gateway", "verdict_of"]

_CALLERS = 10
_TIMEOUT_S = 20.0
_ONCE = ("/book/", "/once/")


class Verdict(enum.Enum):
    """What an answer turned out to be."""

    WHOLE = "whole"
    CUT = "cut"
    REFUSED = "refused"
    FALSE = "framed as whole and isn't"
    WRONG = "events missing, twice or joined"


class Seen(msgspec.Struct):
    """One answer as its caller got it."""

    status: int
    head: dict[str, str]
    body: bytes
    is_complete: bool


class Row(msgspec.Struct, frozen=True):
    """One row of the table: a route and an answer, ended at many bytes."""

    prefix: str
    case: Case
    cuts: tuple[int, ...]
    http: str = "1.1"


_names = (f"cut{number:07}" for number in itertools.count(1))


def gateway(folder: str, **options: object) -> GatewayProcess:
    """Returns a gateway with servers that end their answers early."""
    return GatewayProcess(
        Limits(retry_ratio=3.0, memory_mb=200),
        desks=4,
        platform="tests.cutservers",
        folder=folder,
        **options,
    )


def length_of(case: Case) -> int:
    """Returns how many bytes the whole answer has."""
    return len(answer(case, "cut0000001", 1))


async def ask(front, row: Row, case: Case, name: str) -> Seen:
    """Returns the answer to one request."""
    method = "POST" if row.prefix == "/book/" else "GET"
    data = request(method, case.target(row.prefix), name, Connection="close")
    reader, writer = await asyncio.open_connection(*front)
    writer.write(data.replace(b"HTTP/1.1", b"HTTP/" + row.http.encode(), 1))
    received, is_reset = b"", False
    try:
        while piece := await reader.read(65536):
            received += piece
    except OSError:
        is_reset = True
    writer.close()
    return _parse(received, is_reset)


def _parse(data: bytes, is_reset: bool) -> Seen:
    text, sep, body = data.partition(b"\r\n\r\n")
    if not sep:
        return Seen(0, {}, b"", False)
    first, *rows = text.decode().split("\r\n")
    head = {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}
    status = int(first.split()[1])
    if "content-length" in head:
        is_complete = len(body) == int(head["content-length"])
    elif "transfer-encoding" in head:
        body, is_complete = _dechunk(body)
    else:
        is_complete = not is_reset
    return Seen(status, head, body, is_complete)


def _dechunk(data: bytes) -> tuple[bytes, bool]:
    body = b""
    while b"\r\n" in data:
        size_text, _, data = data.partition(b"\r\n")
        size = int(size_text, 16)
        if not size:
            return body, data == b"\r\n"
        body += data[:size]
        data = data[size + 2 :]
    return body, False


def verdict_of(seen: Seen, row: Row, name: str) -> Verdict:
    """Returns what an answer is."""
    if seen.status and seen.status != 200:
        return Verdict.REFUSED
    if not seen.status:
        return Verdict.CUT
    if not row.case.events:
        if not seen.is_complete:
            return Verdict.CUT
        run = seen.head.get("x-response-stamp", "").rpartition(".")[2]
        said = f"{name}.{run}".encode()
        is_whole = seen.body.startswith(said) and seen.body.endswith(b"END")
        return Verdict.WHOLE if is_whole else Verdict.FALSE
    return _stream_verdict(seen, row, name)


def _stream_verdict(seen: Seen, row: Row, name: str) -> Verdict:
    case, events = row.case, seen.body.replace(b"\r\n", b"\n").split(b"\n\n")
    ids, runs = [], set()
    for event in events[:-1]:
        fields = dict(
            line.split(": ", 1) for line in event.decode().split("\n") if line
        )
        ids.append(int(fields.get("id", "-1")))
        runs.add(fields.get("data", ""))
    due = [number * case.step for number in range(1, case.events + 1)]
    run = seen.head.get("x-response-stamp", "").rpartition(".")[2]
    is_joined = row.prefix == "/once/" and runs - {f"{name}.{run}"}
    is_foreign = any(not said.startswith(name + ".") for said in runs)
    if ids != due[: len(ids)] or is_joined or is_foreign:
        return Verdict.WRONG
    if not seen.is_complete:
        return Verdict.CUT
    is_whole = ids == due and not events[-1]
    return Verdict.WHOLE if is_whole else Verdict.FALSE


async def check_row(front, folder: str, row: Row) -> dict:
    """Returns what became of a row's requests."""
    counts: Counter[str] = Counter()
    false_at: list[int] = []
    times: list[float] = []
    cuts = iter(row.cuts)

    async def call_all() -> None:
        for cut in cuts:
            case = msgspec.structs.replace(row.case, cut=cut)
            name = next(_names)
            begun = time.monotonic()
            try:
                seen = await asyncio.wait_for(
                    ask(front, row, case, name), _TIMEOUT_S
                )
            except TimeoutError:
                counts["late"] += 1
                continue
            times.append((time.monotonic() - begun) * 1000)
            verdict = verdict_of(seen, row, name)
            counts[verdict.value] += 1
            if verdict in (Verdict.FALSE, Verdict.WRONG):
                false_at.append(cut)
            runs = run_count(folder, name)
            counts["second runs"] += runs > 1
            counts["twice"] += runs > 1 and row.prefix in _ONCE

    await asyncio.gather(*(call_all() for _ in range(_CALLERS)))
    median = statistics.median(times) if times else 0.0
    return {**counts, "at": sorted(false_at), "median_ms": round(median, 1)}


def _cuts(case: Case, step: int) -> tuple[int, ...]:
    """Returns every byte of the head, and of a body that only a close ends."""
    length = length_of(case)
    if case.framing == "close":
        return tuple(range(length))
    body = answer(case, "cut0000001", 1).index(b"\r\n\r\n") + 4
    return (*range(body), *range(body, length, step))


def _streams() -> Iterator[Case]:
    for framing in ("length", "chunks", "close"):
        for eol, step, version in (("lf", 1, 0), ("crlf", 6, 1)):
            yield Case(framing, events=4, step=step, eol=eol, version=version)


def rows(step: int) -> Iterator[Row]:
    """Returns the rows of the longer run."""
    plain = [Case(framing) for framing in ("length", "chunks", "close")]
    by_prefix = {
        "/read/": plain,
        "/book/": plain,
        "/again/": list(_streams()),
        "/once/": list(_streams()),
    }
    for prefix, cases in by_prefix.items():
        for case in cases:
            cuts = _cuts(case, step)
            for close, pieces in (("fin", 1), ("rst", 1), ("fin", 2)):
                how = msgspec.structs.replace(case, close=close, pieces=pieces)
                yield Row(prefix, how, cuts)
            if case.framing == "close" or case.events:
                yield Row(prefix, case, cuts[::4], "1.0")


def sound_rows(count: int) -> Iterator[Row]:
    """Returns rows of whole answers, whose cost is measured."""
    for prefix, events in itertools.product(
        ("/read/", "/book/", "/again/", "/once/"), (0, 4)
    ):
        if bool(events) == (prefix in ("/again/", "/once/")):
            for framing in ("length", "close"):
                yield Row(prefix, Case(framing, events=events), (-1,) * count)


def killed_rows(count: int) -> Iterator[Row]:
    """Returns rows whose server is killed with its first answer."""
    for prefix, events in (
        ("/read/", 0),
        ("/book/", 0),
        ("/again/", 4),
        ("/once/", 4),
    ):
        for framing in ("chunks", "close"):
            case = Case(framing, "kill", events=events)
            yield Row(prefix, case, _spread(length_of(case), count))


def extra_rows() -> Iterator[Row]:
    """Returns rows of whole answers that a part of one more follows."""
    for prefix, events in (("/read/", 0), ("/again/", 4), ("/once/", 4)):
        case = Case("chunks", events=events)
        for extra in range(1, length_of(case), 24):
            yield Row(
                prefix, msgspec.structs.replace(case, extra=extra), (-1,) * 12
            )


def _spread(length: int, count: int) -> tuple[int, ...]:
    return tuple(length * n // count for n in range(count))


def main(kind: str, size: int, new_ids: bool) -> None:
    """Makes one longer run."""
    made = {
        "cuts": lambda: rows(size),
        "sound": lambda: sound_rows(size),
        "killed": lambda: killed_rows(size),
        "extra": extra_rows,
    }[kind]()
    with (
        tempfile.TemporaryDirectory() as folder,
        gateway(folder, new_ids=new_ids) as process,
    ):
        for row in made:
            case = row.case
            told = [row.prefix, case.framing, case.close, case.pieces]
            told += [case.eol, case.step, row.http, len(row.cuts)]
            if case.extra:
                told.append(case.extra)
            found = asyncio.run(check_row(process.front, folder, row))
            print(*told, json.dumps(found), flush=True)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), "new" in sys.argv)
