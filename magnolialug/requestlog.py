"""The log lines of one request, kept back if there are too many."""

import time

from magnolialug.events import Event, grade_of, take_line, write_line
from magnolialug.policy.loglimiter import Grade

__all__ = ["RequestLog"]


class RequestLog:
    """Writes a request's lines; a failed request loses none of them first.

    Under load the lines that come with every request go over the bounds.
    Those of a request that fails later are the ones that are asked for. So a
    line that finds no room waits here until the request has ended, and is
    written then if it failed.
    """

    def __init__(self, request: str):
        self._request = request
        self._held: list[tuple[Event, float, dict[str, object]]] = []

    def emit(self, event: Event, **fields: object) -> None:
        """Logs one event of the request."""
        now = time.time()
        line = {"request": self._request, **fields}
        grade = grade_of(event)
        if take_line(grade, now):
            write_line(event, now, line)
        elif grade is Grade.DETAIL:
            self._held.append((event, now, line))

    def failed(self) -> None:
        """Writes what was kept back."""
        for event, at, line in self._held:
            if take_line(Grade.KEPT, at):
                write_line(event, at, line)
        self._held.clear()
