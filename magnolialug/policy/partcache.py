"""Estimates which shared prompt parts an engine has cached."""

from collections import OrderedDict
from collections.abc import Iterable

from magnolialug.policy.prompt import Part

__all__ = ["PartCache"]


# Bounds memory use: sizes and names of parts are callers' own, and parts of one
# token would make a row for each that an engine has memory for.
_MAX_PARTS = 1024
_MAX_NAME_LENGTH = 64


class PartCache:
    """An LRU model of the parts in an engine's cache.

    Parts with long names are taken for not cached.

    Args:
      capacity_tokens: tokens that the engine can hold.
    """

    def __init__(self, capacity_tokens: int):
        self._capacity_tokens = capacity_tokens
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._tokens = 0

    def has(self, cache_namespace: str, part: Part) -> bool:
        """Whether a part is expected to be cached."""
        return (cache_namespace, part.name) in self._parts

    def leading(self, cache_namespace: str, parts: Iterable[Part]) -> int:
        """Returns how many leading parts of a prompt are expected in cache."""
        found = 0
        for part in parts:
            if not self.has(cache_namespace, part):
                break
            found += 1
        return found

    def touch(self, cache_namespace: str, parts: Iterable[Part]) -> None:
        """Marks parts as just used; evicts the least recently used ones."""
        for part in parts:
            if len(part.name) > _MAX_NAME_LENGTH:
                continue
            key = (cache_namespace, part.name)
            if key in self._parts:
                self._parts.move_to_end(key)
                continue
            self._parts[key] = part.tokens
            self._tokens += part.tokens
        while self._parts and self._is_over():
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def _is_over(self) -> bool:
        too_many = len(self._parts) > _MAX_PARTS
        return too_many or self._tokens > self._capacity_tokens
