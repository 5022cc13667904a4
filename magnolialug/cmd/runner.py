"""Runs a program's application object until it is told to stop."""

import signal
import sys
from collections.abc import Awaitable, Callable

from twisted.internet import reactor, task
from twisted.internet.defer import ensureDeferred

from magnolialug.cmd.flagset import EXIT_FAILED
from magnolialug.cmd.hangup import HANGUPS
from magnolialug.events import tell_dropped
from magnolialug.guard import Guard
from magnolialug.logwriter import LogWriter
from magnolialug.result import Failure

__all__ = ["run_until_signal"]

Stop = Callable[[], Awaitable[object]]
# Lines reach their reader this much later at worst.
_FLUSH_S = 0.05
_TELL_S = 1.0
Start = Callable[[], Awaitable[Stop | Failure]]


class _Program:
    """A program's way from start to exit code."""

    def __init__(self, start: Start, on_hangup: Callable[[], None] | None):
        self.exit = 0
        self._on_hangup = on_hangup
        self._start = start
        self._stop: Stop | None = None
        self._stopping = False

    def running(self) -> None:
        """Takes over signals and starts the program."""
        signal.signal(signal.SIGTERM, self._signalled)
        signal.signal(signal.SIGINT, self._signalled)
        if self._on_hangup:
            HANGUPS.deliver_to(self._hung_up)
        ensureDeferred(self._begin()).addErrback(self._crashed)

    async def _begin(self) -> None:
        stop = await self._start()
        if isinstance(stop, Failure):
            text = f"{stop.code.value} {stop.code.name}: {stop.reason}"
            print(text, file=sys.stderr)
            self._end(EXIT_FAILED)
            return
        self._stop = stop

    async def _finish(self) -> None:
        left = await self._stop()
        self._end(EXIT_FAILED if left else 0)

    def _signalled(self, number: int, frame: object) -> None:
        reactor.callFromThread(self._told_to_stop, number)

    def _hung_up(self, number: int, frame: object) -> None:
        reactor.callFromThread(self._on_hangup)

    def _told_to_stop(self, number: int) -> None:
        if self._stopping and number == signal.SIGTERM:
            # Supervisors repeat it; calls still have their grace period.
            return
        if self._stopping or self._stop is None:
            self._end(EXIT_FAILED)
            return
        self._stopping = True
        ensureDeferred(self._finish()).addErrback(self._crashed)

    def _crashed(self, reason) -> None:
        reason.printTraceback(file=sys.stderr)
        self._end(EXIT_FAILED)

    def _end(self, code: int) -> None:
        self.exit = code
        if reactor.running:
            reactor.stop()


def run_until_signal(
    start: Start,
    on_hangup: Callable[[], None] | None = None,
    log: LogWriter | None = None,
    dropped: Callable[[int], None] = lambda lines: None,
) -> int:
    """Runs the reactor until the program is told to stop.

    The first SIGTERM or SIGINT begins a graceful stop. During it, another
    SIGTERM changes nothing, and another SIGINT ends the process at once.

    Args:
      start: starts the program; returns its stop, whose result is falsy when
        nothing was left behind.
      on_hangup: is called at each SIGHUP.
      log: is flushed while the program runs.
      dropped: is told how many log lines were left out.

    Returns:
      the exit code.
    """
    program = _Program(start, on_hangup)
    if log is not None:
        guard = Guard(reactor.seconds)
        for name, period_s, step in (
            ("log flush", _FLUSH_S, log.flush),
            ("dropped lines", _TELL_S, lambda: dropped(tell_dropped(log))),
        ):
            # A looping call ends with the first exception.
            task.LoopingCall(guard.call, name, step).start(period_s)
    reactor.callWhenRunning(program.running)
    reactor.run(installSignalHandlers=False)
    return program.exit
