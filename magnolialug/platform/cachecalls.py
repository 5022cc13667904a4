"""Calls to a store of cache parts: what it holds and what has changed."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from magnolialug.carrier.client import Client, NoReply, Reply, request_bytes
from magnolialug.carrier.pool import Address
from magnolialug.events import Event, emit, explain
from magnolialug.jsoninput import Count, Name, decode_json
from magnolialug.platform.notices import read_notices
from magnolialug.policy.storeindex import PartKey
from magnolialug.result import Code, Failure, failed

__all__ = ["CacheCalls", "CacheChange", "CacheEvents", "CacheList"]

_SLACK_S = 0.35
_LIST_S = 2.0
_FREE_S = 0.8
# A list of 10,000 parts has a tenth of this.
_MAX_ANSWER_BYTES = 4 * 1024 * 1024


class CacheChange(msgspec.Struct, frozen=True):
    """A part became whole, or is gone.

    Attributes:
      tokens: how many are stored now.
    """

    whole: bool
    salt: Name
    part: Name
    tokens: Count


_CHANGE_FIELDS = CacheChange.__struct_fields__


class CacheEvents(msgspec.Struct, frozen=True):
    """What has changed since a number.

    Attributes:
      epoch: names one start of the store.
      next: the number to ask from the next time.
      gap: whether some changes are no longer known.
      clock_ms: the time on the servers' clock, 0 if not told.
      born_ms: when the store was started, by its own clock; 0 if not told.
    """

    epoch: int
    next: int
    gap: bool
    changes: tuple[CacheChange, ...]
    clock_ms: float
    born_ms: int = 0


class CacheList(msgspec.Struct, frozen=True):
    """All that a store holds.

    Attributes:
      unfinished: parts that are being written, or broke off; they keep the
        space that was reserved for them.
    """

    epoch: int
    next: int
    parts: tuple[CacheChange, ...]
    born_ms: int = 0
    unfinished: tuple[CacheChange, ...] = ()


class _WireEvents(msgspec.Struct):
    """The body of `GET /kv-events`.

    Attributes:
      events: rows of [number, sign, salt, part, tokens, model].
      clock_ms: the servers' clock.
    """

    epoch: Count
    next: Count
    lost: bool = False
    events: list[Any] = []
    clock_ms: float = 0.0
    born: Count = 0


class _WireList(msgspec.Struct):
    """The body of `GET /kv-list`.

    Attributes:
      held: rows of [salt, part, tokens, model].
      partial: rows of [salt, part, tokens written, tokens reserved].
    """

    epoch: Count
    next: Count
    held: list[Any] = []
    partial: list[Any] = []
    born: Count = 0


class CacheCalls:
    """Asks stores, on connections of its own."""

    def __init__(self, client: Client):
        self._client = client

    async def events(
        self, address: Address, since: int, wait_s: float
    ) -> CacheEvents | Failure:
        """Returns what has changed since a number; waits for a change."""
        request = request_bytes(
            "GET",
            address[0],
            f"/kv-events?since={since}",
            headers={"Wait-Ms": str(int(wait_s * 1000))},
        )
        reply = await self._client.ask(
            address, request, wait_s + _SLACK_S, max_bytes=_MAX_ANSWER_BYTES
        )
        row = _typed(reply, _WireEvents)
        if isinstance(row, Failure):
            return row
        changes = _changes("kv-events", row.events, _event)
        return CacheEvents(
            row.epoch, row.next, row.lost, changes, row.clock_ms, row.born
        )

    async def list(self, address: Address) -> CacheList | Failure:
        """Returns all that a store holds."""
        request = request_bytes("GET", address[0], "/kv-list")
        reply = await self._client.ask(
            address, request, _LIST_S, max_bytes=_MAX_ANSWER_BYTES
        )
        row = _typed(reply, _WireList)
        if isinstance(row, Failure):
            return row
        parts = _changes("held", row.held, _held)
        unfinished = _changes("partial", row.partial, _unfinished)
        return CacheList(row.epoch, row.next, parts, row.born, unfinished)

    async def free(
        self,
        address: Address,
        epoch: int,
        until_ms: int,
        parts: Sequence[PartKey],
    ) -> None | Failure:
        """Frees parts at once.

        Args:
          epoch: the start of the store that holds them.
          until_ms: on the servers' clock; a call that arrives later is
            refused.
        """
        body = {"parts": parts, "epoch": epoch, "until_ms": until_ms}
        request = request_bytes(
            "POST", address[0], "/kv-free", msgspec.json.encode(body)
        )
        reply = await self._client.ask(address, request, _FREE_S)
        if isinstance(reply, NoReply):
            return failed(Code.STORE_UNAVAILABLE, reply.end.value)
        if reply.status != 200:
            return _refused(reply)
        return None


def _event(row: list[Any]) -> tuple[bool, Any, Any, Any]:
    _, sign, salt, part, tokens, *_ = row
    return sign == "+", salt, part, tokens


def _held(row: list[Any]) -> tuple[bool, Any, Any, Any]:
    salt, part, tokens, *_ = row
    return True, salt, part, tokens


def _unfinished(row: list[Any]) -> tuple[bool, Any, Any, Any]:
    salt, part, _, reserved, *_ = row
    return False, salt, part, reserved


def _changes(
    field: str,
    rows: list[Any],
    read: Callable[[list[Any]], tuple[bool, Any, Any, Any]],
) -> tuple[CacheChange, ...]:
    """Returns the changes in a store's rows, but for malformed ones."""
    changes = []
    refused: list[Failure] = []
    for row in rows:
        try:
            values = dict(zip(_CHANGE_FIELDS, read(row), strict=True))
            changes.append(msgspec.convert(values, CacheChange))
        except (TypeError, ValueError) as exc:
            refused.append(failed(Code.BAD_ENTRY, str(exc), field))
    if refused:
        emit(
            Event.STORE_ROWS_REFUSED,
            field=field,
            rows=len(refused),
            **explain(refused[0]),
        )
    return tuple(changes)


def _typed(reply: Reply | NoReply, form: type):
    if isinstance(reply, NoReply):
        return failed(Code.STORE_UNAVAILABLE, reply.end.value)
    if reply.status != 200:
        return _refused(reply)
    return decode_json(reply.body, form, Code.BAD_ENTRY, "store")


def _refused(reply: Reply) -> Failure:
    """Returns why a store did not do something, and how long to let it rest."""
    rest_s = read_notices(reply.status, reply.headers).rest_s
    return failed(
        Code.STORE_UNAVAILABLE,
        f"status {reply.status}",
        retry_after_s=rest_s if isinstance(rest_s, float) else 0.0,
    )
