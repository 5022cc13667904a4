"""Tells the homes of endpoints of this entry's work there."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.homes.homebook import HomeBook
from magnolialug.homes.messages import Work
from magnolialug.ids import EndpointId
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import Placement, WorkShare

__all__ = ["Teller"]

# First events and ends are told this much later at most; what is sent is told
# at once, since the next question can come within a millisecond.
_TELL_S = 0.02
# A share is repeated this often, since datagrams get lost and homes change.
_REPEAT_S = 0.5
# A rollout is passed on for this long after it was heard.
_NEWS_S = 6.0


class Teller:
    """Sends shares: at once, soon, and again from time to time.

    What it sends grows with this entry's own requests, whatever the number of
    entries: three messages a request to one home, and two a second for each
    endpoint where it has work.

    Args:
      entry: names this start of this process.
      share: returns this entry's work at an endpoint, None if it is gone.
      news: returns the newest rollout, and when it was heard.
      send: sends a message to an entry.
    """

    def __init__(
        self,
        entry: str,
        book: HomeBook,
        share: Callable[[EndpointId], WorkShare | None],
        news: Callable[[], tuple[Rollout | None, float]],
        send: Callable[[Work, Address], None],
        clock: IReactorTime,
    ):
        self._entry = entry
        self._book = book
        self._share = share
        self._news = news
        self._send = send
        self._clock = clock
        self._number = 0
        self._timer = None
        self._changed: set[EndpointId] = set()
        self._active: set[EndpointId] = set()
        self._repeated_at = 0.0

    def sent(self, endpoint: EndpointId, placement: Placement | None) -> None:
        """Learns that a request has been sent to an endpoint."""
        self._changed.add(endpoint)
        placements = () if placement is None else (placement,)
        self._tell(self._book.home(endpoint), [endpoint], placements)

    def changed(self, endpoint: EndpointId) -> None:
        """Learns that work at an endpoint has come further, or is over."""
        self._changed.add(endpoint)
        if self._timer is None:
            self._timer = self._clock.callLater(_TELL_S, self._tell_changed)

    def spread(self, rollout: Rollout) -> None:
        """Tells all other entries which engines load weights now.

        Engines turn away what comes while they load, and few requests may go
        to a second one. The service tells of it too, up to a second later
        while much changes.
        """
        self._number += 1
        work = Work(self._entry, self._number, (), (), rollout)
        for address in self._book.others:
            self._send(work, address)

    def moved(self) -> None:
        """Learns that endpoints have other homes."""
        self._tell_all(self._active)

    def tick(self, now: float) -> None:
        """Repeats what is still true."""
        if now - self._repeated_at >= _REPEAT_S:
            self._repeated_at = now
            self._tell_all(self._active)

    def stop(self) -> None:
        """Tells nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _tell_changed(self) -> None:
        self._timer = None
        self._tell_all(self._changed)

    def _tell_all(self, endpoints: set[EndpointId]) -> None:
        by_home: dict[Address, list[EndpointId]] = {}
        for endpoint in endpoints:
            home = self._book.home(endpoint)
            by_home.setdefault(home, []).append(endpoint)
        for home, rows in by_home.items():
            self._tell(home, rows, ())

    def _tell(
        self,
        home: Address,
        endpoints: list[EndpointId],
        placements: tuple[Placement, ...],
    ) -> None:
        """Sends the shares of some endpoints to their home.

        A share of nothing is told twice, so that the end of the last request
        is not lost with one datagram.
        """
        shares = []
        for endpoint in endpoints:
            share = self._share(endpoint)
            ended = share is None or not share.running
            if not ended or endpoint in self._changed:
                self._active.add(endpoint)
            else:
                self._active.discard(endpoint)
            self._changed.discard(endpoint)
            if share is not None:
                shares.append(share)
        self._number += 1
        rollout, heard_at = self._news()
        news = self._clock.seconds() - heard_at < _NEWS_S
        work = Work(
            self._entry,
            self._number,
            tuple(shares),
            placements,
            rollout if news else None,
        )
        self._send(work, home)
