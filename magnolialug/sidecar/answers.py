"""The answers that a sidecar keeps until their callers have them."""

from collections.abc import Iterable

from magnolialug.attempt import Attempt
from magnolialug.sidecar.answer import Answer
from magnolialug.wire.link import Link

__all__ = ["Answers"]

_ORPHAN_S = 15.0


class Answers:
    """Answers by attempt, and each request's latest attempt.

    An answer that no connection listens to is an orphan: its caller may come
    back for it, through any entry. A run that stays without a listener for
    _ORPHAN_S is worth ending, if it may be.
    """

    def __init__(self) -> None:
        self._answers: dict[tuple, Answer] = {}
        self._latest: dict[tuple[str, str], Attempt] = {}
        self._orphans: dict[tuple, float] = {}

    def add(self, answer: Answer) -> None:
        """Keeps an answer from now on."""
        attempt = answer.attempt
        self._answers[attempt.key] = answer
        self._latest[attempt.key[:2]] = attempt

    def get(self, attempt: Attempt) -> Answer | None:
        """Returns an attempt's answer."""
        return self._answers.get(attempt.key)

    def pop(self, attempt: Attempt) -> Answer:
        """Gives an answer up."""
        return self._answers.pop(attempt.key)

    def latest(self, team: str, request_id: str) -> Attempt | None:
        """Returns the last attempt of a team's request."""
        return self._latest.get((team, request_id))

    def attach(self, answer: Answer, link: Link, after_seq: int) -> None:
        """Sends an answer to a connection from now on."""
        self._orphans.pop(answer.attempt.key, None)
        answer.attach(link, after_seq)

    def link_lost(self, link: Link, now: float) -> None:
        """Forgets a connection."""
        for key, answer in self._answers.items():
            answer.detach(link)
            if not answer.wanted:
                self._orphans.setdefault(key, now)

    def forget(self, attempts: Iterable[Attempt]) -> None:
        """Gives up the answers of attempts that are over."""
        for attempt in attempts:
            self._answers.pop(attempt.key, None)
            self._orphans.pop(attempt.key, None)
            if self._latest.get(attempt.key[:2]) == attempt:
                del self._latest[attempt.key[:2]]

    def trim(self, limit_bytes: int) -> None:
        """Gives up the oldest delivered answers beyond a size in all.

        Answers are kept for callers that come back; a busy sidecar would
        otherwise keep a quarter of an hour of them, whatever their size.
        """
        size = sum(answer.size for answer in self._answers.values())
        for key, answer in list(self._answers.items()):
            if size <= limit_bytes:
                return
            if answer.delivered:
                size -= answer.size
                del self._answers[key]

    def abandoned(self, now: float) -> list[Attempt]:
        """Returns the unfinished attempts that nobody came back for."""
        over = [
            key for key, at in self._orphans.items() if now - at >= _ORPHAN_S
        ]
        attempts = []
        for key in over:
            del self._orphans[key]
            answer = self._answers.get(key)
            if answer and not answer.wanted and answer.final is None:
                attempts.append(answer.attempt)
        return attempts

    def delivered(self) -> bool:
        """Tells whether every listener has all that there is."""
        return all(answer.delivered for answer in self._answers.values())
