"""How a model engine reads prompts: in chunks, one after the other."""

from collections.abc import Callable, Mapping

import msgspec
from twisted.internet.interfaces import IReactorTime

__all__ = ["PartKey", "Prefill", "prompt_parts", "unread_tokens"]

PartKey = tuple[str, str]

_CHUNK_TOKENS = 2048


class _Prompt(msgspec.Struct, eq=False):
    left: int
    priority: int
    is_wanted: Callable[[], bool]
    on_read: Callable[[], None]


class Prefill:
    """Reads waiting prompts, the most urgent first.

    A chunk that has begun is finished. The streams under way get one step for
    each chunk, so `step_s` is how long a step of theirs lasts meanwhile.

    Args:
      tokens_per_s: how fast it reads.
      slowed: returns how long something takes that should take some seconds.
    """

    def __init__(
        self,
        clock: IReactorTime,
        tokens_per_s: float,
        slowed: Callable[[float], float],
    ):
        self._clock = clock
        self._tokens_per_s = tokens_per_s
        self._slowed = slowed
        self._waiting: list[_Prompt] = []
        self._busy = False

    @property
    def step_s(self) -> float:
        """How long a step of a stream lasts, 0 while nothing is read."""
        return _CHUNK_TOKENS / self._tokens_per_s if self._busy else 0.0

    def add(
        self,
        tokens: int,
        priority: int,
        is_wanted: Callable[[], bool],
        on_read: Callable[[], None],
    ) -> None:
        """Queues a prompt.

        Args:
          priority: 0 is read first.
          is_wanted: whether its caller still waits; if not, it is dropped.
          on_read: called when it has been read.
        """
        self._waiting.append(_Prompt(tokens, priority, is_wanted, on_read))
        if not self._busy:
            self._next()

    def _next(self) -> None:
        self._waiting = [row for row in self._waiting if row.is_wanted()]
        self._busy = bool(self._waiting)
        if not self._busy:
            return
        prompt = min(self._waiting, key=lambda row: row.priority)
        tokens = min(prompt.left, _CHUNK_TOKENS)
        chunk_s = self._slowed(tokens / self._tokens_per_s)
        self._clock.callLater(chunk_s, self._end_chunk, prompt, tokens)

    def _end_chunk(self, prompt: _Prompt, tokens: int) -> None:
        prompt.left -= tokens
        is_read = prompt.left <= 0
        if is_read:
            self._waiting.remove(prompt)
        self._next()
        if is_read and prompt.is_wanted():
            prompt.on_read()


def prompt_parts(headers: Mapping[str, str]) -> list[tuple[PartKey, int]]:
    """Returns the named parts of a prompt, with their tokens."""
    salt = headers.get("x-cache-salt", "")
    rows = filter(None, headers.get("x-prompt-prefix", "").split(","))
    parts = (row.partition(":") for row in rows)
    return [((salt, name), int(tokens)) for name, _, tokens in parts]


def unread_tokens(headers: Mapping[str, str], known: set[PartKey]) -> int:
    """Returns how many tokens of a prompt an engine has to read.

    Args:
      known: the parts that it has read; those behind a missing one do not
        count.
    """
    tokens = int(headers.get("x-token-counts", "0").partition(",")[0])
    for part, part_tokens in prompt_parts(headers):
        if part not in known:
            break
        tokens -= part_tokens
    return max(1, tokens)
