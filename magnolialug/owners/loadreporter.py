"""Reports this entry's work at endpoints to their owners."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId
from magnolialug.owners.messages import LoadReport, News
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import Placement, WorkShare

__all__ = ["LoadReporter"]

# First events and ends are gathered for this long. New requests are reported at
# once, because the next query can come within a millisecond.
_GATHER_S = 0.02
# Makes good lost datagrams and changes of owners.
_REPEAT_S = 0.5


class LoadReporter:
    """Sends this entry's share of the load of each endpoint.

    The messages grow with this entry's own requests and not with the number of
    entries: three a request to one owner, and two a second for each endpoint
    where it has work.

    Args:
      entry: names this start of this process.
      share: returns this entry's work at an endpoint, None if it is gone.
      news: returns what this entry has learned lately.
      send: sends a message to an entry.
    """

    def __init__(
        self,
        entry: str,
        ring: OwnerRing,
        share: Callable[[EndpointId], WorkShare | None],
        news: Callable[[], News],
        send: Callable[[LoadReport, Address], None],
        clock: IReactorTime,
    ):
        self._entry = entry
        self._ring = ring
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
        """Reports that a request has been sent to an endpoint."""
        self._changed.add(endpoint)
        placements = () if placement is None else (placement,)
        self._report(self._ring.owner(endpoint), [endpoint], placements)

    def changed(self, endpoint: EndpointId) -> None:
        """Reports soon that work at an endpoint has progressed or ended."""
        self._changed.add(endpoint)
        if self._timer is None:
            self._timer = self._clock.callLater(_GATHER_S, self._report_changed)

    def spread(self, rollout: Rollout) -> None:
        """Announces to all other entries which engines load weights now.

        Engines reject requests while they load, and the retry budget is small.
        The key-value service announces it too, up to a second later.
        """
        self._number += 1
        report = LoadReport(self._entry, self._number, (), (), rollout)
        for address in self._ring.others:
            self._send(report, address)

    def moved(self) -> None:
        """Reports all work again after a change of owners."""
        self._report_all(self._active)

    def tick(self, now: float) -> None:
        """Repeats what is still true."""
        if now - self._repeated_at >= _REPEAT_S:
            self._repeated_at = now
            self._report_all(self._active)

    def stop(self) -> None:
        """Reports nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _report_changed(self) -> None:
        self._timer = None
        self._report_all(self._changed)

    def _report_all(self, endpoints: set[EndpointId]) -> None:
        by_owner: dict[Address, list[EndpointId]] = {}
        for endpoint in endpoints:
            owner = self._ring.owner(endpoint)
            by_owner.setdefault(owner, []).append(endpoint)
        for owner, rows in by_owner.items():
            self._report(owner, rows, ())

    def _report(
        self,
        owner: Address,
        endpoints: list[EndpointId],
        placements: tuple[Placement, ...],
    ) -> None:
        """Sends the shares of some endpoints to their owner.

        An empty share is sent twice, so that the end of the last request is
        not lost with one datagram.
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
        news = self._news()
        report = LoadReport(
            self._entry,
            self._number,
            tuple(shares),
            placements,
            news.rollout,
            news.evacuated,
        )
        self._send(report, owner)
