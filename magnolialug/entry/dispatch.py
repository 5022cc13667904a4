"""Placement parameters that an attempt sends to its endpoint."""

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["FROM_ENGINE", "Dispatch"]

# The source of a part that the engine itself is expected to have cached.
FROM_ENGINE = "engine"


class Dispatch(msgspec.Struct, frozen=True):
    """The endpoint of an attempt and its placement parameters.

    Attributes:
      cache_namespace: requests share cached parts only within one namespace.
      weights: the required version of the weights, 0 for any.
      priority: 0 is admitted first.
      resume_after: the id of the last event already delivered, 0 to run from
        the start.
      fetch: for each part of the prompt the address of the store to read it
        from, "" for none; empty if nothing is fetched.
      save: for each part of the prompt the address of the store to save it
        to, in the same form.
      sources: the expected source of each shared part of the prompt:
        "engine", the name of a store, or the reason why there is none.
      fetch_until_ms: the deadline of the fetches, on the endpoints' clock;
        a fetch that ends later is discarded.
    """

    endpoint: EndpointId
    cache_namespace: str = ""
    weights: int = 0
    priority: int = 0
    resume_after: int = 0
    fetch: tuple[str, ...] = ()
    save: tuple[str, ...] = ()
    fetch_until_ms: int = 0
    sources: tuple[str, ...] = ()
