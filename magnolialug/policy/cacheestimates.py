"""An entry's estimates of what endpoints and stores have cached."""

from collections import OrderedDict

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["CacheEstimates", "EngineCacheEstimate", "StoreCacheEstimate"]

_MAX_ENGINES_PER_PROMPT = 4


class EngineCacheEstimate(msgspec.Struct):
    """A prefix of a prompt that an endpoint had cached.

    Attributes:
      tokens: length of the prefix.
      filled: the endpoint's count of tokens put into its cache up to then.
      epoch: the endpoint's cache epoch at that time.
    """

    tokens: int
    filled: int
    epoch: int


class StoreCacheEstimate(msgspec.Struct):
    """A prefix of a prompt that a store held.

    Attributes:
      tokens: length of the prefix.
      in_memory: whether it was in memory rather than on disk.
    """

    tokens: int
    in_memory: bool


class _Prompt(msgspec.Struct):
    engines: dict[EndpointId, EngineCacheEstimate]
    store: StoreCacheEstimate | None = None


class CacheEstimates:
    """Bounded estimates by prompt root; the least recently used is dropped.

    An engine does not report evictions, so an estimate is checked against how
    much the endpoint has cached since: an LRU cache of C tokens has evicted a
    prefix once more than C further tokens were put in. So an estimate expires
    by the cause of eviction rather than by time. A gap in the endpoint's
    events or a restart raises its cache epoch, which invalidates earlier
    estimates.
    """

    def __init__(self, max_prompts: int):
        self.max_prompts = max_prompts
        self._prompts: OrderedDict[str, _Prompt] = OrderedDict()

    def __len__(self) -> int:
        return len(self._prompts)

    def record_engine(
        self, root: str, endpoint: EndpointId, estimate: EngineCacheEstimate
    ) -> None:
        """Records what a sidecar's answer reported about its engine."""
        engines = self._prompt(root).engines
        engines.pop(endpoint, None)
        engines[endpoint] = estimate
        while len(engines) > _MAX_ENGINES_PER_PROMPT:
            del engines[next(iter(engines))]

    def record_store(
        self, root: str, estimate: StoreCacheEstimate | None
    ) -> None:
        """Records what a sidecar's answer reported about the stores."""
        self._prompt(root).store = estimate

    def engine_tokens(
        self,
        root: str,
        endpoint: EndpointId,
        filled: int,
        epoch: int,
        capacity: int,
    ) -> int:
        """Returns the expected tokens of a prompt in an endpoint's cache."""
        prompt = self._prompts.get(root)
        estimate = prompt.engines.get(endpoint) if prompt else None
        if estimate is None or estimate.epoch != epoch:
            return 0
        if filled - estimate.filled + estimate.tokens > capacity:
            return 0
        return estimate.tokens

    def store(self, root: str) -> StoreCacheEstimate | None:
        """Returns the prefix that the stores are expected to hold."""
        prompt = self._prompts.get(root)
        return prompt.store if prompt else None

    def cached_endpoints(self, root: str) -> list[EndpointId]:
        """Returns the endpoints with a recorded prefix of the prompt."""
        prompt = self._prompts.get(root)
        return list(prompt.engines) if prompt else []

    def _prompt(self, root: str) -> _Prompt:
        prompt = self._prompts.get(root)
        if prompt is None:
            prompt = self._prompts[root] = _Prompt({})
            if len(self._prompts) > self.max_prompts:
                self._prompts.popitem(last=False)
        else:
            self._prompts.move_to_end(root)
        return prompt
