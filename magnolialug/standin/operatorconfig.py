"""Rows of an operator's configuration, as the platform's store holds them."""

__all__ = ["LIMITS", "ENGINES", "cache_store", "route"]

LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 10000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}

# A service of model engines with managed stores of cache parts.
ENGINES = {
    "name": "llm",
    "maxConnections": 600,
    "engine": {
        "slots": 128,
        "kvCapacityTokens": 140000,
        "kvTokenBytes": 35136,
        "linkMbps": 1100000.0,
        "maxInFlight": 12,
        "managed": True,
    },
}


def route(name: str, prefix: str, service: str, **more: object) -> dict:
    """Returns one row of the routes; an idempotent one if not said."""
    return {
        "name": name,
        "host": "h.example",
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


def cache_store(name: str, address: str, capacity: int) -> dict:
    """Returns the row of a store of cache parts."""
    return {
        "name": name,
        "kvStoreAddr": address,
        "zone": "a",
        "kvCapacityTokens": capacity,
        "linkMbps": 310000.0,
        "maxInFlight": 12,
        "managed": True,
        "first_ms": 0.5,
    }
