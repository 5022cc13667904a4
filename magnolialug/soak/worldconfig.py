"""The operator's configuration of a soak, version by version."""

from magnolialug.standin.operatorconfig import ENGINES, LIMITS, route

__all__ = ["soak_config"]


def soak_config(
    version: int, store: dict, idle_s: float, long_prompts: bool = False
) -> dict:
    """Returns a configuration; one route is there in this version only.

    Args:
      long_prompts: whether there is a route for prompts that are less urgent.
    """
    prompts = {"routeType": "streaming", "sessionAffinity": True}
    long_route = route(
        "long",
        "/long/",
        "llm",
        **prompts,
        resumable=True,
        timeoutMs=6000,
        targetLatencyMs=2000,
        targetGapMs=500,
        priority=2,
    )
    return {
        "version": version,
        "routes": [
            route("read", "/read/", "desk"),
            route("book", "/book/", "desk", routeType="non_idempotent"),
            route(
                "draft",
                "/draft/",
                "llm",
                **prompts,
                timeoutMs=6000,
                maxAttempts=1,
            ),
            route("check", "/check/", "llm", **prompts, resumable=True),
            *([long_route] if long_prompts else []),
            route(f"at{version}", f"/at{version}/", "desk"),
        ],
        "services": [
            {"name": "desk", "maxConnections": 100},
            ENGINES,
            store,
        ],
        "limits": {**LIMITS, "idleTimeoutMs": int(idle_s * 1000)},
        "tenants": [
            {"name": "team-a", "apiKeys": ["key-a"]},
            {"name": "team-b", "apiKeys": ["key-b"], "isolated": True},
        ],
    }
