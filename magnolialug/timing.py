"""Waiting on an injected clock, so that tests decide what time it is."""

from collections.abc import Awaitable
from typing import TypeVar

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.interfaces import IReactorTime

__all__ = ["TIMED_OUT", "TimedOut", "sleep", "within"]

T = TypeVar("T")


class TimedOut:
    """The type of TIMED_OUT."""

    def __repr__(self) -> str:
        return "TIMED_OUT"


TIMED_OUT = TimedOut()


def sleep(clock: IReactorTime, seconds: float) -> Deferred[None]:
    """Returns a deferred that fires after that many seconds."""
    call = None

    def cancel(_: Deferred) -> None:
        if call.active():
            call.cancel()

    fut: Deferred[None] = Deferred(cancel)
    call = clock.callLater(max(0.0, seconds), fut.callback, None)
    return fut


async def within(
    clock: IReactorTime, seconds: float, work: Awaitable[T]
) -> T | TimedOut:
    """Returns the result of work, or TIMED_OUT after cancelling it."""
    fut = (
        work
        if isinstance(work, Deferred)
        else ensureDeferred(_as_coroutine(work))
    )
    expired = False

    def expire() -> None:
        nonlocal expired
        expired = True
        fut.cancel()

    timer = clock.callLater(max(0.0, seconds), expire)
    try:
        return await fut
    except BaseException:
        if expired:
            return TIMED_OUT
        raise
    finally:
        if timer.active():
            timer.cancel()


async def _as_coroutine(work: Awaitable[T]) -> T:
    return await work
