"""Long-lived tasks that begin again after they have failed."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.events import Event, emit

__all__ = ["SupervisedTask"]

# First and longest pause before a failed task begins again. The longest still
# lets a configuration be in force within 2 s of the failure that delayed it.
_RESTART_PAUSES_S = (0.1, 1.0)
# After it has run for this long, a failure counts as the first one.
_SOUND_S = 10.0


class SupervisedTask:
    """Runs a coroutine until it is stopped.

    An exception that nobody expected would otherwise end the task for good,
    while the process goes on without what the task does.

    Attributes:
      name: of the task, for logs and metrics.
      failures: how often it has ended without being stopped.
      is_down: whether it has ended and not yet begun again.

    Args:
      run: returns the coroutine; it is called again after each failure.
      clock: provides time.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[], Awaitable[None]],
        clock: IReactorTime,
    ):
        self.name = name
        self.failures = 0
        self.is_down = False
        self._run = run
        self._clock = clock
        self._task: Deferred | None = None
        self._restart: IDelayedCall | None = None
        self._begun_at = 0.0
        self._pause_s = 0.0

    def start(self) -> None:
        """Begins the task."""
        self._restart = None
        self.is_down = False
        self._begun_at = self._clock.seconds()
        task = self._task = ensureDeferred(self._run())
        task.addBoth(self._on_end, task)

    def stop(self) -> None:
        """Cancels the task, which does not begin again."""
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
        if self._restart is not None and self._restart.active():
            self._restart.cancel()

    def _on_end(self, result: TwistedFailure | None, task: Deferred) -> None:
        if self._task is not task:
            return
        self._task = None
        self.failures += 1
        self.is_down = True
        self._pause_s = self._next_pause_s()
        is_failure = isinstance(result, TwistedFailure)
        emit(
            Event.TASK_FAILED,
            task=self.name,
            failures=self.failures,
            restart_in_s=self._pause_s,
            traceback=result.getTraceback() if is_failure else "it returned",
        )
        self._restart = self._clock.callLater(self._pause_s, self.start)

    def _next_pause_s(self) -> float:
        first_s, longest_s = _RESTART_PAUSES_S
        if self._clock.seconds() - self._begun_at >= _SOUND_S:
            return first_s
        return min(longest_s, max(first_s, 2 * self._pause_s))
