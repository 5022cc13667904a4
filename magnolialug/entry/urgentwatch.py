"""Watches urgent keys while a long answer delays all other changes."""

from collections.abc import Callable, Sequence

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.background import background
from magnolialug.platform.kv import Changes, Kv
from magnolialug.result import Failure
from magnolialug.timing import sleep

__all__ = ["UrgentWatch"]


class UrgentWatch:
    """Watches some prefixes until it is stopped.

    The departure of an endpoint must be known within two seconds. One long
    value can take that long to arrive, and all changes after it would wait. A
    call to the service returns the changes under one prefix, so each prefix
    has its own call.

    Args:
      prefixes: prefixes of keys whose values are short.
      wait_s: longest time that a call waits at the service for a change.
      pace_s: shortest time between two calls for a prefix.
      on_changes: receives a prefix and what has changed under it.
    """

    def __init__(
        self,
        kv: Kv,
        prefixes: Sequence[str],
        clock: IReactorTime,
        wait_s: float,
        pace_s: float,
        on_changes: Callable[[str, Changes], None],
    ):
        self._kv = kv
        self._prefixes = prefixes
        self._clock = clock
        self._wait_s = wait_s
        self._pace_s = pace_s
        self._on_changes = on_changes
        self._tasks: list[Deferred] = []

    def start(self, after: int) -> None:
        """Starts to watch all prefixes for changes after a revision."""
        self.stop()
        for prefix in self._prefixes:
            task = background("urgent watch", self._follow(prefix, after))
            self._tasks.append(task)

    def stop(self) -> None:
        """Cancels all calls."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()

    async def _follow(self, prefix: str, after: int) -> None:
        """Reports changes until a call fails; the long answer has the rest."""
        while True:
            found = await self._kv.changes(prefix, after, self._wait_s)
            if isinstance(found, Failure):
                return
            after = found.revision
            self._on_changes(prefix, found)
            await sleep(self._clock, self._pace_s)
