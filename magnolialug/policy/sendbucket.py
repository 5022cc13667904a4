"""Permits for the requests of all entries to a limited endpoint."""

from collections import deque

import msgspec

from magnolialug.policy.limitnotice import KnownLimit
from magnolialug.policy.sendlimit import MIN_RATE, PERMIT_S

__all__ = ["SendBucket"]

# Permits of this time may be saved up, at least one.
_SAVED_S = 0.5
# Sends without permit, of entries that could not ask, are made up for by
# entries that ask, but not for longer than this.
_DEBT_S = 1.0
# A permit is held back for its entry until its request must have been reported.
_RESERVATION_S = 2 * PERMIT_S
# Permits beyond the tokens. Most entries that ask choose another endpoint, and
# one permit at a time would leave tokens unused. If all are used, the next ones
# wait for as much longer.
_SURPLUS_PERMITS = 2
# A less urgent request gets no permit for this long after a more urgent one
# was denied one, or for the time of two permits.
_URGENT_S = 1.0
# An entry may ask again after this time, since its next request may be urgent.
_HELD_WAIT_S = 0.1
# One permit in so many goes to any request, so that no priority starves.
_OPEN_PERMIT_INTERVAL = 4


class _Reservation(msgspec.Struct):
    """A permit whose request has not been reported."""

    until: float
    entry: str


class SendBucket:
    """Token bucket of an endpoint's request rate, kept by its owner.

    An entry asks before it chooses, and most entries that ask then choose
    another endpoint. So a permit only reserves a token, which a report of the
    request takes, and which is free again if none comes.

    Attributes:
      known: the limit, from all that entries report of the endpoint's answers.
      share: the part of the rate that this owner hands out. Entries that cannot
        reach it have other owners.
    """

    def __init__(self):
        self.known = KnownLimit()
        self.share = 1.0
        self._level = 0.0
        self._refilled_at: float | None = None
        self._reservations: deque[_Reservation] = deque()
        self._sent: dict[str, int] = {}
        self._denied_at: dict[int, float] = {}
        self._permits = 0

    def ask(self, entry: str, priority: int, now: float) -> float | None:
        """Returns the time until an entry may send a request, in seconds.

        0 is a permit. None means that the endpoint has no limit.

        Args:
          priority: of the request, 0 is the most urgent.
        """
        rate = self._refill(now)
        if rate is None:
            return None
        while self._reservations and self._reservations[0].until <= now:
            self._reservations.popleft()
        if self._level < 1.0:
            self._denied_at[priority] = now
            return (1.0 - self._level) / rate
        if len(self._reservations) >= int(self._level) + _SURPLUS_PERMITS:
            return self._reservations[0].until - now
        if self._is_held_for_urgent(priority, rate, now):
            return _HELD_WAIT_S
        self._permits += 1
        self._reservations.append(_Reservation(now + _RESERVATION_S, entry))
        return 0.0

    def record_sent(
        self, entry: str, sent: int, recently_sent: int, now: float
    ) -> None:
        """Records how many requests an entry has sent.

        Args:
          sent: all its requests. Reports are lost and repeated, so they hold
            a total.
          recently_sent: those of the last second, the most that are counted
            at once: an owner that has just become one knows no total.
        """
        rate = self._refill(now)
        if rate is None:
            return
        before = self._sent.get(entry, 0)
        self._sent[entry] = sent
        new = min(sent - before if sent >= before else sent, recently_sent)
        self._level = max(self._level - new, -1.0 - rate * _DEBT_S)
        for reservation in list(self._reservations):
            if new > 0 and reservation.entry == entry:
                self._reservations.remove(reservation)
                new -= 1

    def _is_held_for_urgent(
        self, priority: int, rate: float, now: float
    ) -> bool:
        if self._permits % _OPEN_PERMIT_INTERVAL == 0:
            return False
        memory_s = max(_URGENT_S, 2.0 / rate)
        return any(
            urgent < priority and now - at < memory_s
            for urgent, at in self._denied_at.items()
        )

    def _refill(self, now: float) -> float | None:
        """Adds the tokens since the last call; returns the rate."""
        limit = self.known.rate
        if limit is None:
            self._refilled_at = None
            return None
        if self._refilled_at is None:
            self._begin(now)
        rate = self.share * max(limit, MIN_RATE)
        saved = self._level + (now - self._refilled_at) * rate
        self._level = min(saved, max(1.0, rate * _SAVED_S))
        self._refilled_at = now
        return rate

    def _begin(self, now: float) -> None:
        self._level = 0.0
        self._refilled_at = now
        self._reservations.clear()
        self._sent.clear()
        self._denied_at.clear()
