"""The key-value stand-in behind the platform's HTTP calls."""

from base64 import b64decode, b64encode

import msgspec
from twisted.web.server import Request

from magnolialug.platform.kv import KvEntry
from magnolialug.result import Code, Failure
from magnolialug.standin.kv import KvStore
from magnolialug.standin.web import Face, query

__all__ = ["kv_face"]

_STATUS = {
    Code.KV_REFUSED: 503,
    Code.KV_HISTORY_GONE: 410,
    Code.KV_LEASE_GONE: 404,
}


def _row(entry: KvEntry) -> dict:
    if entry.value is None:
        return {
            "key": entry.key,
            "revision": entry.revision,
            "tombstone": True,
        }
    return {
        "key": entry.key,
        "value": b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.revision,
        "lease": 0,
    }


def kv_face(store: KvStore) -> Face:
    """Returns the HTTP resource of a store."""

    async def handle(method: str, parts: list[str], req: Request, data: bytes):
        call = _CALLS[parts[0]]
        reply = await call(store, parts[1:], req, data)
        if isinstance(reply, Failure):
            if reply.code is Code.KV_TIMEOUT:
                req.transport.loseConnection()
                return None
            return _STATUS.get(reply.code, 400), {"error": reply.reason}
        return reply

    return Face(handle)


async def _key(store: KvStore, parts: list[str], req: Request, data: bytes):
    found = await store.get(query(req, "key"))
    if found is None:
        return 404, {"asOf": store.revision}
    if isinstance(found, Failure):
        return found
    return 200, {**_row(found), "asOf": store.revision}


async def _range(store: KvStore, parts: list[str], req: Request, data: bytes):
    page = await store.page(query(req, "pathPrefix"), query(req, "after"))
    if isinstance(page, Failure):
        return page
    return 200, {
        "items": [_row(row) for row in page.entries],
        "hasMore": page.more,
        "asOf": page.revision,
    }


async def _watch(store: KvStore, parts: list[str], req: Request, data: bytes):
    found = await store.changes(
        query(req, "pathPrefix"),
        int(query(req, "after", "0")),
        int(query(req, "waitMs", "0")) / 1000,
    )
    if isinstance(found, Failure):
        return found
    events = [_row(row) for row in found.entries]
    return 200, {"events": events, "asOf": found.revision}


async def _txn(store: KvStore, parts: list[str], req: Request, data: bytes):
    body = msgspec.json.decode(data)
    expected = body["expected"][0]
    if body["deletes"]:
        gone = await store.delete(body["deletes"][0])
        if isinstance(gone, Failure):
            return gone
        return 200, {"revision": store.revision}
    write = body["writes"][0]
    swap = await store.put_if(
        write["key"],
        b64decode(write["value"]),
        expected["revision"],
        write.get("lease", 0),
    )
    if isinstance(swap, Failure):
        return swap
    if swap.won:
        return 200, {"revision": swap.revision}
    nothing = KvEntry(write["key"], None, 0)
    return 412, {"items": [_row(swap.current or nothing)]}


async def _lease(store: KvStore, parts: list[str], req: Request, data: bytes):
    ttl_ms = msgspec.json.decode(data)["ttlMs"]
    lease = await store.grant(ttl_ms / 1000)
    if isinstance(lease, Failure):
        return lease
    return 200, {"lease": lease, "ttlMs": ttl_ms}


async def _keep(store: KvStore, parts: list[str], req: Request, data: bytes):
    left = await store.keep(int(parts[0]))
    if isinstance(left, Failure):
        return left
    if left <= 0:
        return 404, {}
    return 200, {"ttlMs": int(left * 1000)}


async def _end(store: KvStore, parts: list[str], req: Request, data: bytes):
    ended = await store.revoke(int(parts[0]))
    if isinstance(ended, Failure):
        return ended
    return (200 if ended else 404), {}


_CALLS = {
    "kv-key": _key,
    "kv-range": _range,
    "kv-watch": _watch,
    "kv-txn": _txn,
    "kv-lease": _lease,
    "kv-keep": _keep,
    "kv-lease-end": _end,
}
