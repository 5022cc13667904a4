"""Confirms that this process's copy of the registry is up to date."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.background import background
from magnolialug.events import Event, emit, explain
from magnolialug.result import Code, Failure, failed
from magnolialug.timing import TIMED_OUT, sleep, within

__all__ = ["RegistryCopy"]

# The share of the service's quota of read calls that all entries use together.
_QUOTA_SHARE = 0.1
# A read takes a few milliseconds. A caller for whom it, or the pause before it,
# takes longer than this is better off at another entry.
_MAX_READ_S = 0.5
_MAX_PAUSE_S = 0.4


class RegistryCopy:
    """Reads the registry's newest changes for those who must not miss one.

    A watch reports changes, but not that there are none: for about a second a
    process does not notice that it is cut off, and one that stood still acts
    before it reads what has come meanwhile. What follows from the absence of
    an endpoint therefore takes a read that begins after the question came up.

    All who wait share one read.

    Args:
      catch_up: reads and applies the newest changes; returns why it could not.
      revision: returns the revision up to which the copy has all changes.
      has_unreported: returns whether the last read has found changes of other
        keys that are not applied yet.
      reads_per_s: how many read calls the service allows to all entries.
      entries: returns the number of entries.
      on_read: is told whether a read succeeded.
    """

    def __init__(
        self,
        catch_up: Callable[[], Awaitable[Failure | None]],
        revision: Callable[[], int],
        has_unreported: Callable[[], bool],
        reads_per_s: float,
        entries: Callable[[], int],
        clock: IReactorTime,
        on_read: Callable[[bool], None],
    ):
        self._catch_up = catch_up
        self._revision = revision
        self._has_unreported = has_unreported
        self._reads_per_s = reads_per_s * _QUOTA_SHARE
        self._entries = entries
        self._clock = clock
        self._on_read = on_read
        self._waiting: list[Deferred[bool]] = []
        self._is_reading = False
        self._next_read_at = float("-inf")

    @property
    def revision(self) -> int:
        """The revision up to which the copy has all changes."""
        return self._revision()

    async def confirm(self, deadline: float = float("inf")) -> bool:
        """Returns whether the copy has all changes made before this call.

        Args:
          deadline: by the clock, when the answer is of no more use.
        """
        fut: Deferred[bool] = Deferred()
        self._waiting.append(fut)
        if not self._is_reading:
            background("registry read", self._read_while_awaited())
        left_s = deadline - self._clock.seconds()
        if left_s >= _MAX_PAUSE_S + 2 * _MAX_READ_S:
            return await fut
        return await within(self._clock, left_s, fut) is True

    async def confirm_routes(self, deadline: float) -> bool:
        """Returns whether the configuration is confirmed, too."""
        return await self.confirm(deadline) and not self._has_unreported()

    async def _read_while_awaited(self) -> None:
        self._is_reading = True
        try:
            while self._waiting:
                pause_s = self._next_read_at - self._clock.seconds()
                if pause_s > _MAX_PAUSE_S:
                    self._log_failure(failed(Code.KV_REFUSED, "quota share"))
                    break
                if pause_s > 0:
                    await sleep(self._clock, pause_s)
                # Those who come during the read need the next one.
                count = len(self._waiting)
                failure = await self._read()
                if failure is not None:
                    self._log_failure(failure)
                    break
                self._answer(count, True)
        finally:
            self._is_reading = False
            self._answer(len(self._waiting), False)

    async def _read(self) -> Failure | None:
        interval_s = self._entries() / self._reads_per_s
        self._next_read_at = self._clock.seconds() + interval_s
        failure = await within(self._clock, _MAX_READ_S, self._catch_up())
        if failure is TIMED_OUT:
            failure = failed(Code.KV_TIMEOUT)
        self._on_read(failure is None)
        return failure

    def _answer(self, count: int, confirmed: bool) -> None:
        """Answers those who have waited longest."""
        answered, self._waiting = self._waiting[:count], self._waiting[count:]
        for fut in answered:
            fut.callback(confirmed)

    def _log_failure(self, failure: Failure) -> None:
        emit(
            Event.REGISTRY_UNCONFIRMED,
            revision=self.revision,
            waiting=len(self._waiting),
            **explain(failure),
        )
