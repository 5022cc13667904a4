"""Hang-ups that arrive before a program can act on them."""

import signal
from collections.abc import Callable

__all__ = ["HANGUPS", "Hangups"]

Handler = Callable[[int, object], None]


class Hangups:
    """Keeps a SIGHUP until its handler is there.

    The platform sends one whenever the settings file changes, also to a
    process that has just been started, and its default action ends the
    process. No program can take a signal before its first line, so
    deploy/start-gateway starts one with the signal ignored. One that is
    ignored until then is not missed: the settings are read afterwards.
    """

    def __init__(self) -> None:
        self._is_pending = False

    def hold(self) -> None:
        """Takes over the signal; to be called first in a program."""
        signal.signal(signal.SIGHUP, self._note)

    def deliver_to(self, handler: Handler) -> None:
        """Sets the handler, and calls it for a hang-up that was kept."""
        signal.signal(signal.SIGHUP, handler)
        pending, self._is_pending = self._is_pending, False
        if pending:
            handler(signal.SIGHUP, None)

    def _note(self, number: int, frame: object) -> None:
        self._is_pending = True


HANGUPS = Hangups()
