"""Short tasks that nobody waits for."""

from collections.abc import Awaitable

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.python.failure import Failure as TwistedFailure

from magnolialug.events import Event, emit

__all__ = ["background"]


def background(name: str, work: Awaitable[None]) -> Deferred[None]:
    """Starts a task whose failure is logged at once.

    The log line of an exception that stays in a Deferred is only written when
    that Deferred is collected, which may be never.

    Args:
      name: of the task, for the log.

    Returns:
      a deferred that fires when the task has ended, however it ended.
    """

    def on_error(reason: TwistedFailure) -> None:
        if not reason.check(CancelledError):
            emit(Event.TASK_FAILED, task=name, traceback=reason.getTraceback())

    task = ensureDeferred(work)
    task.addErrback(on_error)
    return task
