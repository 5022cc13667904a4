"""What one attempt tells its endpoint."""

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["FROM_ENGINE", "Dispatch"]

# The source of a part that the engine is believed to hold itself.
FROM_ENGINE = "engine"


class Dispatch(msgspec.Struct, frozen=True):
    """The endpoint of an attempt, and what placement decided for it.

    Attributes:
      salt: cache is only shared under the same salt.
      weights: the version of the weights it must have, 0 for any.
      priority: 0 is admitted first.
      resume_after: the event to go on after, 0 for a run from the start.
      fetch: for each part of the prompt the address of the store to read it
        from, "" for none; no rows if nothing is fetched.
      save: the same for the store that is to keep it.
      sources: for each shared part of the prompt what it is expected to come
        from: "engine", a store, or why from none.
      fetch_until_ms: a fetch that lasts longer is thrown away; on the
        endpoints' clock.
    """

    endpoint: EndpointId
    salt: str = ""
    weights: int = 0
    priority: int = 0
    resume_after: int = 0
    fetch: tuple[str, ...] = ()
    save: tuple[str, ...] = ()
    fetch_until_ms: int = 0
    sources: tuple[str, ...] = ()
