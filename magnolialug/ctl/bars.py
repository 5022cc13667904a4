"""Shows the requests that go to no endpoint, and lifts a bar."""

import msgspec

from magnolialug.bars.barbook import BARS_PREFIX, BarValue
from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.result import Code, Failure, failed

__all__ = ["bar_lines", "lift_bar"]


async def bar_lines(kv: Kv) -> list[str] | Failure:
    """Returns a line for each bar: the request's digest, who ended under it."""
    entries = await kv.scan(BARS_PREFIX)
    if isinstance(entries, Failure):
        return entries
    return [_line(entry) for entry in entries]


async def lift_bar(kv: Kv, digest: str) -> Failure | None:
    """Lets a request go to endpoints again."""
    removed = await kv.delete(BARS_PREFIX + digest)
    if isinstance(removed, Failure):
        return removed
    if not removed:
        return failed(Code.UNKNOWN_REQUEST, "no such bar", "digest", digest)
    return None


def _line(entry: KvEntry) -> str:
    digest = entry.key.removeprefix(BARS_PREFIX)
    try:
        value = msgspec.json.decode(entry.value, type=BarValue)
    except msgspec.MsgspecError as exc:
        return f"{digest} malformed: {exc}"
    return f"{digest} {' '.join(value.ended)}"
