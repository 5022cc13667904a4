"""Which shared parts of prompts an engine is believed to hold."""

from collections import OrderedDict
from collections.abc import Iterable

from magnolialug.policy.prompt import Part

__all__ = ["PartCache"]


class PartCache:
    """Parts in the order of their last use, as many as a memory holds.

    Args:
      memory: tokens that the engine can hold.
    """

    def __init__(self, memory: int):
        self._memory = memory
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._tokens = 0

    def has(self, salt: str, part: Part) -> bool:
        """Whether a part is believed to be there."""
        return (salt, part.name) in self._parts

    def leading(self, salt: str, parts: Iterable[Part]) -> int:
        """Returns how many of a prompt's first parts are believed there."""
        found = 0
        for part in parts:
            if not self.has(salt, part):
                break
            found += 1
        return found

    def keep(self, salt: str, parts: Iterable[Part]) -> None:
        """Counts parts as used now; what they push out is forgotten."""
        for part in parts:
            key = (salt, part.name)
            if key in self._parts:
                self._parts.move_to_end(key)
                continue
            self._parts[key] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self._memory and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
