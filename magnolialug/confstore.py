"""The operators' configuration in the key-value service.

One head key names the version in force; its text lies in content-addressed
chunks that are written first, so that a text over a megabyte is in force
whole or not at all.
"""

from collections.abc import Callable

import msgspec

from magnolialug.config.current import make_doc
from magnolialug.config.deployment import text_digest
from magnolialug.jsoninput import decode_json
from magnolialug.platform.kv import Kv, KvEntry, Swap
from magnolialug.result import Code, Failure, failed
from magnolialug.wire.messages import ConfigDoc

__all__ = [
    "HEAD_KEY",
    "Change",
    "Head",
    "apply_text",
    "head_of",
    "read_doc",
    "read_head",
]

HEAD_KEY = "magnolialug/config/head"
_CHUNK_PREFIX = "magnolialug/config/chunk/"
_CHUNK_CHARS = 200_000
_HISTORY = 50


class Change(msgspec.Struct, frozen=True):
    """One accepted change.

    Attributes:
      version: counts from 1; a higher one replaces a lower one.
      change_id: the applier's own id, by which it recognises its write.
      author: who applied it.
      at: wall-clock seconds.
      digest: of the whole text.
      chunks: the digests of its parts, in order.
    """

    version: int
    change_id: str
    author: str
    at: float
    digest: str
    chunks: tuple[str, ...]


class Head(msgspec.Struct, frozen=True):
    """The value of the head key: the newest change first."""

    changes: tuple[Change, ...]
    revision: int = 0

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.changes[0].version if self.changes else 0


def head_of(entry: KvEntry) -> Head | Failure:
    """Returns the head in a KV entry."""
    head = decode_json(
        entry.value or b"", Head, Code.BAD_CONFIG_SYNTAX, entry.key
    )
    if isinstance(head, Failure):
        return head
    return msgspec.structs.replace(head, revision=entry.revision)


async def read_head(kv: Kv) -> Head | Failure:
    """Returns the head, an empty one if nothing was ever applied."""
    entry = await kv.get(HEAD_KEY)
    if isinstance(entry, Failure):
        return entry
    return head_of(entry) if entry else Head(())


async def read_doc(kv: Kv, change: Change) -> ConfigDoc | Failure:
    """Returns the text of a change, checked against its digest."""
    parts = []
    for digest in change.chunks:
        entry = await kv.get(_chunk_key(change.version, digest))
        if isinstance(entry, Failure):
            return entry
        if entry is None:
            return failed(Code.CONFIG_MISSING, "a chunk is gone", digest)
        parts.append((entry.value or b"").decode(errors="replace"))
    text = "".join(parts)
    if text_digest(text) != change.digest:
        return failed(Code.BAD_CONFIG_SYNTAX, "digest differs", "(chunks)")
    return make_doc(change.version, text)


async def apply_text(
    kv: Kv,
    text: str,
    base_version: int,
    change_id: str,
    author: str,
    wall: Callable[[], float],
) -> Change | Failure:
    """Puts a text in force if the version it was made from still is.

    Calling it again with the same change id never makes a second version:
    the KV can apply the write and lose the answer, and the operator, who
    cannot know, tries again.

    Args:
      base_version: the version that the operator looked at.
      change_id: the same for every try of one change.
    """
    head = await read_head(kv)
    if isinstance(head, Failure):
        return head
    mine = _find(head, change_id)
    if mine:
        return mine
    if head.version != base_version:
        return _conflict(head, base_version)
    change = _change(text, base_version + 1, change_id, author, wall())
    failure = await _write_chunks(kv, text, change)
    if failure:
        return failure
    kept = (change, *head.changes[: _HISTORY - 1])
    swap = await kv.put_if(
        HEAD_KEY, msgspec.json.encode(Head(kept)), head.revision
    )
    accepted = await _accepted(kv, swap, change, base_version)
    if isinstance(accepted, Change):
        await _collect(kv, kept[-1].version)
    return accepted


async def _accepted(
    kv: Kv, swap: Swap | Failure, change: Change, base_version: int
) -> Change | Failure:
    if isinstance(swap, Swap) and swap.won:
        return change
    head = await read_head(kv)
    if isinstance(head, Failure):
        return head
    mine = _find(head, change.change_id)
    if mine:
        return mine
    if isinstance(swap, Failure) and head.version == base_version:
        return swap
    return _conflict(head, base_version)


async def _write_chunks(kv: Kv, text: str, change: Change) -> Failure | None:
    parts = _split(text)
    for digest, part in zip(change.chunks, parts, strict=True):
        key = _chunk_key(change.version, digest)
        swap = await kv.put_if(key, part.encode(), 0)
        if isinstance(swap, Failure):
            return swap
    return None


async def _collect(kv: Kv, oldest: int) -> None:
    """Frees chunks of versions that the history no longer names.

    Only lower versions are touched, and a racing applier writes only at a
    version above the head, so no chunk that a head may yet name is freed.
    """
    entries = await kv.scan(_CHUNK_PREFIX)
    if isinstance(entries, Failure):
        return
    for entry in entries:
        version = int(entry.key[len(_CHUNK_PREFIX) :].split("/")[0])
        if version < oldest:
            await kv.delete(entry.key)


def _change(
    text: str, version: int, change_id: str, author: str, at: float
) -> Change:
    chunks = tuple(text_digest(part) for part in _split(text))
    return Change(version, change_id, author, at, text_digest(text), chunks)


def _split(text: str) -> list[str]:
    return [
        text[start : start + _CHUNK_CHARS]
        for start in range(0, len(text), _CHUNK_CHARS)
    ]


def _chunk_key(version: int, digest: str) -> str:
    return f"{_CHUNK_PREFIX}{version:08d}/{digest}"


def _find(head: Head, change_id: str) -> Change | None:
    for change in head.changes:
        if change.change_id == change_id:
            return change
    return None


def _conflict(head: Head, base_version: int) -> Failure:
    return failed(
        Code.CONFIG_CONFLICT,
        f"version {head.version} is in force",
        "base_version",
        base_version,
    )
