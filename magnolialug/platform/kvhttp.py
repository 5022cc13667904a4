"""The platform's key-value service over HTTP.

Values travel as standard base64 text with padding.
"""

from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.carrier.client import Client, NoReply, Reply, request_bytes
from magnolialug.carrier.pool import Address
from magnolialug.carrier.progress import Progress
from magnolialug.carrier.responsereceiver import End
from magnolialug.events import Event, emit, explain
from magnolialug.jsoninput import decode_json
from magnolialug.kvpages import Pages, read_pages
from magnolialug.platform.kv import (
    VALUE_LIMIT,
    Changes,
    KvEntry,
    Page,
    Snapshot,
    Swap,
)
from magnolialug.result import Code, Failure, failed

__all__ = ["KvHttp"]

# Answers begin after about 4 ms; the slowest that are still of use take 60
# times as long while the service is slow, and a little more with a queue. The
# same bound holds between two pieces of an answer.
_CALL_S = 1.0
# An answer that takes longer than this makes a check fail. The checked watch is
# only asked anew then, so it may be shorter than for a call.
_CHECK_S = 0.5
# An opening packet that is lost is sent again after a second only; another
# attempt reaches a service whose path is back sooner.
_CONNECT_S = 0.3
# Added to the time that a watch may wait at the service.
_WATCH_SLACK_S = 1.0
_WATCH_S = 10.0
# No key begins so: a range of it is empty and tells the revision alone.
_NO_KEYS = "magnolialug/no-such-keys/"


# Other ends leave it open whether the call was executed.
_NO_REPLY = {
    End.UNSENT: Code.KV_UNREACHABLE,
    End.DROPPED: Code.KV_ANSWER_TOO_LONG,
}


class _Item(msgspec.Struct):
    """One key as the service writes it.

    Attributes:
      tombstone: whether the key was removed; there is no value then.
    """

    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _Page(msgspec.Struct, rename={"more": "hasMore", "as_of": "asOf"}):
    items: list[_Item]
    as_of: int
    more: bool = False


class _One(msgspec.Struct, rename={"as_of": "asOf"}):
    key: str
    value: str
    revision: int
    as_of: int = 0


class _Events(msgspec.Struct, rename={"as_of": "asOf"}):
    events: list[_Item]
    as_of: int


class _Written(msgspec.Struct):
    revision: int = 0


class _Lost(msgspec.Struct):
    """The state of the keys that a condition named (status 412)."""

    items: list[_Item]


class _Lease(msgspec.Struct, rename={"ttl_ms": "ttlMs"}):
    ttl_ms: int
    lease: int = 0


def _entry(item: _Item) -> KvEntry:
    """Returns a typed entry; a value that cannot be read is empty.

    Another writer's value must not make the whole answer unreadable. No reader
    takes an empty value, so its key alone is refused.
    """
    if item.tombstone or item.revision == 0:
        return KvEntry(item.key, None, item.revision)
    try:
        value = b64decode(item.value, validate=True)
    except ValueError as exc:
        bad = failed(Code.KV_NONSENSE, str(exc), item.key)
        emit(Event.ENTRY_REFUSED, key=item.key, **explain(bad))
        value = b""
    return KvEntry(item.key, value, item.revision)


def _entries(items: list[_Item]) -> tuple[KvEntry, ...]:
    return tuple(map(_entry, items))


class KvHttp:
    """Implements Kv over HTTP.

    Args:
      address: host and port of the service.
      counted: is told the name and the outcome of each call, and how many
        bytes of its answer have arrived.
    """

    def __init__(
        self,
        client: Client,
        address: Address,
        timeout_s: float = _CALL_S,
        counted: Callable[[str, str, int], None] = lambda *call: None,
    ):
        self._client = client
        self._address = address
        self._host = f"{address[0]}:{address[1]}"
        self._timeout_s = timeout_s
        self._counted = counted

    async def get(self, key: str) -> KvEntry | Failure | None:
        """Returns a key's entry, None if the key is absent."""
        reply = await self._call("GET", "kv-key", {"key": key})
        if isinstance(reply, Failure):
            return reply
        if reply.status == 404:
            return None
        one = self._read(reply, _One, "kv-key")
        if isinstance(one, Failure):
            return one
        return _entry(_Item(one.key, one.revision, one.value))

    async def scan(self, prefix: str) -> list[KvEntry] | Failure:
        """Returns the entries of all keys with a prefix."""
        found = await self.snapshot(prefix)
        return found if isinstance(found, Failure) else list(found.entries)

    async def snapshot(
        self, prefix: str, stale: bool = False
    ) -> Snapshot | Failure:
        """Returns the entries under a prefix, page by page."""
        return await read_pages(self, Pages(prefix, stale))

    async def page(
        self,
        prefix: str,
        after: str = "",
        stale: bool = False,
        progress: Progress | None = None,
        slack_s: float | None = None,
    ) -> Page | Failure:
        """Returns the entries under a prefix that follow a key."""
        query: dict[str, Any] = {"pathPrefix": prefix}
        if stale:
            query["serializable"] = 1
        if after:
            query["after"] = after
        reply = await self._call(
            "GET",
            "kv-range",
            query,
            timeout_s=self._timeout_s if slack_s is None else slack_s,
            progress=progress,
        )
        page = self._typed(reply, _Page, "kv-range")
        if isinstance(page, Failure):
            return page
        found = _entries(page.items)
        return Page(found, page.as_of, page.more and bool(found))

    async def newest_revision(self) -> int | Failure:
        """Returns the service's newest revision, possibly seconds old."""
        query = {"pathPrefix": _NO_KEYS, "serializable": 1}
        reply = await self._call("GET", "kv-range", query, timeout_s=_CHECK_S)
        page = self._typed(reply, _Page, "kv-range")
        return page if isinstance(page, Failure) else page.as_of

    async def changes(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        progress: Progress | None = None,
        slack_s: float | None = None,
    ) -> Changes | Failure:
        """Waits for changes under a prefix after a revision."""
        query = {
            "pathPrefix": prefix,
            "after": after,
            "waitMs": int(wait_s * 1000),
        }
        reply = await self._call(
            "GET",
            "kv-watch",
            query,
            timeout_s=wait_s + (_WATCH_SLACK_S if slack_s is None else slack_s),
            progress=progress,
        )
        if not isinstance(reply, Failure) and reply.status == 410:
            return failed(Code.KV_HISTORY_GONE, field="after", value=after)
        events = self._typed(reply, _Events, "kv-watch")
        if isinstance(events, Failure):
            return events
        found = _entries(events.events)
        return Changes(found, max(after, events.as_of))

    async def put_if(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> Swap | Failure:
        """Writes a value if the key is still at a revision, 0 for absent."""
        if len(value) > VALUE_LIMIT:
            return failed(
                Code.KV_ERROR, "value over a megabyte", key, len(value)
            )
        write = {"key": key, "value": b64encode(value).decode()}
        if lease:
            write["lease"] = lease
        return await self._txn(
            {
                "expected": [{"key": key, "revision": revision}],
                "writes": [write],
                "deletes": [],
            }
        )

    async def delete(self, key: str) -> bool | Failure:
        """Removes a key."""
        found = await self.get(key)
        if found is None or isinstance(found, Failure):
            return found or False
        swap = await self._txn(
            {
                "expected": [{"key": key, "revision": found.revision}],
                "writes": [],
                "deletes": [key],
            }
        )
        return swap if isinstance(swap, Failure) else swap.won

    async def grant(self, ttl_s: float) -> int | Failure:
        """Returns a new lease; its keys go when it runs out."""
        body = {"ttlMs": int(ttl_s * 1000)}
        reply = await self._call("POST", "kv-lease", body=body)
        lease = self._typed(reply, _Lease, "kv-lease")
        return lease if isinstance(lease, Failure) else lease.lease

    async def keep(self, lease: int) -> float | Failure:
        """Renews a lease; returns its time to live, 0 if it has run out."""
        reply = await self._call("POST", f"kv-keep/{lease}", body={})
        if not isinstance(reply, Failure) and reply.status == 404:
            return 0.0
        kept = self._typed(reply, _Lease, "kv-keep")
        return kept if isinstance(kept, Failure) else kept.ttl_ms / 1000

    async def revoke(self, lease: int) -> bool | Failure:
        """Ends a lease and removes its keys; false if it had ended."""
        reply = await self._call("DELETE", f"kv-lease-end/{lease}")
        if isinstance(reply, Failure):
            return reply
        return reply.status == 200

    def watch(
        self,
        key: str,
        after: int,
        on_change: Callable[[KvEntry], None],
        on_end: Callable[[Failure], None],
    ) -> Callable[[], None]:
        """Reports a key's changes after a revision until stop is called."""
        stopped = False

        async def follow() -> None:
            found = await self.snapshot(key)
            while not stopped and not isinstance(found, Failure):
                for entry in found.entries:
                    newer = entry.key == key and entry.revision > after
                    if newer and entry.value is not None:
                        on_change(entry)
                found = await self.changes(key, found.revision, _WATCH_S)
            if not stopped:
                on_end(found)

        def stop() -> None:
            nonlocal stopped
            stopped = True
            fut.cancel()

        def on_error(reason: TwistedFailure) -> None:
            if stopped:
                return
            emit(
                Event.TASK_FAILED,
                task=f"watch {key}",
                traceback=reason.getTraceback(),
            )
            on_end(failed(Code.KV_ERROR, str(reason.value), key))

        fut = ensureDeferred(follow())
        fut.addErrback(on_error)
        return stop

    async def _txn(self, body: dict[str, Any]) -> Swap | Failure:
        reply = await self._call("POST", "kv-txn", body=body)
        if not isinstance(reply, Failure) and reply.status == 412:
            return self._lost(reply)
        if not isinstance(reply, Failure) and reply.status == 404:
            return failed(Code.KV_LEASE_GONE, field="lease")
        written = self._typed(reply, _Written, "kv-txn")
        if isinstance(written, Failure):
            return written
        return Swap(True, None, written.revision)

    def _lost(self, reply: Reply) -> Swap | Failure:
        lost = self._read(reply, _Lost, "kv-txn")
        if isinstance(lost, Failure):
            return lost
        found = _entries(lost.items)
        there = [entry for entry in found if entry.value is not None]
        return Swap(False, there[0] if there else None)

    def _typed(self, reply: Reply | Failure, form: type, call: str):
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            return failed(
                Code.KV_ERROR, f"status {reply.status}", call, reply.body[:80]
            )
        return self._read(reply, form, call)

    def _read(self, reply: Reply, form: type, call: str):
        return decode_json(reply.body, form, Code.KV_NONSENSE, call)

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        timeout_s: float = 0.0,
        progress: Progress | None = None,
    ) -> Reply | Failure:
        progress = progress or Progress()
        target = f"/{call}?{urlencode(query)}" if query else f"/{call}"
        data = b"" if body is None else msgspec.json.encode(body)
        reply = await self._client.ask(
            self._address,
            request_bytes(method, self._host, target, data),
            timeout_s or self._timeout_s,
            _CONNECT_S,
            self._timeout_s,
            progress,
        )
        name = call.partition("/")[0]
        if isinstance(reply, NoReply):
            self._counted(name, reply.end.value, progress.received)
            if reply.end is End.SILENT:
                # What silenced one open connection has silenced them all.
                self._client.drop_idle(self._address)
            code = _NO_REPLY.get(reply.end, Code.KV_TIMEOUT)
            came = progress.describe(self._client.seconds())
            return failed(code, f"no answer: {reply.end.value}, {came}", name)
        self._counted(name, str(reply.status), progress.received)
        if reply.status in (429, 503):
            reason = f"status {reply.status}"
            return failed(Code.KV_REFUSED, reason, name)
        return reply
