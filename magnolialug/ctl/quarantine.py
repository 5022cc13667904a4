"""Lists quarantined requests, and releases them."""

import msgspec

from magnolialug.platform.kv import Kv, KvEntry
from magnolialug.quarantine.quarantinelist import (
    QUARANTINE_KEYS,
    read_quarantine,
)
from magnolialug.result import Code, Failure, failed

__all__ = ["quarantine_lines", "release"]


async def quarantine_lines(kv: Kv) -> list[str] | Failure:
    """Returns a line for each request or pattern, with what crashed."""
    entries = await kv.scan(QUARANTINE_KEYS)
    if isinstance(entries, Failure):
        return entries
    return [_line(entry) for entry in entries]


async def release(kv: Kv, digest: str) -> Failure | None:
    """Lets a request go to endpoints again."""
    removed = await kv.delete(QUARANTINE_KEYS + digest)
    if isinstance(removed, Failure):
        return removed
    if not removed:
        return failed(
            Code.UNKNOWN_REQUEST,
            "must be a quarantined request",
            "digest",
            digest,
        )
    return None


def _line(entry: KvEntry) -> str:
    digest = entry.key.removeprefix(QUARANTINE_KEYS)
    value = read_quarantine(entry)
    if isinstance(value, Failure):
        return f"{digest} malformed: {value.reason}"
    line = f"{digest} {' '.join(value.ended)}"
    if value.pattern is None:
        return line
    service, team, parts = msgspec.structs.astuple(value.pattern)
    return f"{line} {service}, {team or 'any team'}, parts {' '.join(parts)}"
