"""A registry entry that cannot be read ends a gateway's view of the store."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

CONTACT_MS = 4000
CONFIG_MS = 3000
# The bound, and the time in which a machine must have been in touch before.
SETTLE_S = (CONFIG_MS + CONTACT_MS) / 1000 + 0.5
REQUESTS = 20
# Some bytes that another writer left there: JSON that never ends.
UNREADABLE = b'{"spec":' * 1500


def config(version: int, service: str, keys: list[str]) -> dict:
    """Returns a configuration with one route and one team."""
    route = {
        "name": "r-look",
        "host": "shop.example",
        "pathPrefix": "/look/",
        "routeType": "idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
    services = [
        {"name": name, "healthPath": "/healthz", "maxConnections": 100}
        for name in ("old", "new")
    ]
    return {
        "version": version,
        "routes": [route],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "team-1", "apiKeys": keys, "priority": 1}],
    }


async def play(record: standin.Record, trouble: bool, scratch: str) -> bool:
    """Plays the case; returns whether the rule held."""
    store = standin.Store()
    await store.start()
    bounds = {
        "contact_ms": CONTACT_MS,
        "config_ms": CONFIG_MS,
        "memory_mb": 200,
    }
    gateways = [standin.Gateway(n, store, scratch, **bounds) for n in range(3)]
    servers = [
        standin.Server(store, record, name, zone)
        for name in ("old", "new")
        for zone in ("z1", "z2")
    ]
    try:
        store.put("op/config", config(7, "old", ["key-kept", "key-dropped"]))
        for server in servers:
            await server.start()
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        return await _judge(record, trouble, store, gateways)
    finally:
        for gateway in gateways:
            gateway.kill()
        for server in servers:
            server.close()
        store.close()


async def _judge(
    record: standin.Record,
    trouble: bool,
    store: standin.Store,
    gateways: list[standin.Gateway],
) -> bool:
    """Returns whether the newer version is in force after the bound."""
    await asyncio.sleep(1.0)
    for gateway in gateways:
        _, found = await standin.call(gateway, record, "/look/1", "key-dropped")
        if found is None or found.status != 200:
            raise standin.CannotRunError("the first request was not served")
    if trouble:
        revision = store.write("servers/i-other-writer", UNREADABLE)
        record.add(
            f"another writer's entry of {len(UNREADABLE)} bytes is in the"
            f" store, revision {revision}"
        )
    await asyncio.sleep(2.0)
    revision = store.put("op/config", config(9, "new", ["key-kept"]))
    record.add(
        f"the store acknowledges version 9, revision {revision}:"
        " the route goes to service new, key-dropped is gone"
    )
    await asyncio.sleep(SETTLE_S)
    old = 0
    for number in range(REQUESTS):
        for gateway in gateways:
            for key in ("key-kept", "key-dropped"):
                old += await _is_old(gateway, record, f"/look/{number}", key)
    record.add(
        f"{old} of {2 * REQUESTS * len(gateways)} requests were handled"
        " as only the older version allows"
    )
    ready = [await gateway.is_ready() for gateway in gateways]
    record.add(f"{sum(ready)} of {len(ready)} gateways say that they are ready")
    return old == 0


async def _is_old(
    gateway: standin.Gateway, record: standin.Record, target: str, key: str
) -> bool:
    """Whether a request is handled as only the older version allows."""
    _, found = await standin.call(gateway, record, target, key)
    if found is None or found.status != 200:
        return False
    return key == "key-dropped" or found.body.startswith(b"old ")


if __name__ == "__main__":
    standin.run_case(FOLDER, play)
