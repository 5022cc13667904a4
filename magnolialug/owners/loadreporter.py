"""Reports this entry's work at endpoints to their owners."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId
from magnolialug.owners.messages import Announcements, LoadReport
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.policy.endpointnotice import LeavingEndpoint
from magnolialug.policy.rollout import Rollout
from magnolialug.policy.sharedload import Placement, WorkShare

__all__ = ["LoadReporter"]

# First events and ends of requests are batched for this long. New requests are
# reported at once, because the next query can come within a millisecond.
_BATCH_DELAY_S = 0.02
# Reports are repeated to make up for lost datagrams and changes of owners.
_REPEAT_INTERVAL_S = 0.5


class LoadReporter:
    """Reports this entry's share of the load of each endpoint to its owner.

    The number of messages grows with this entry's own requests and not with the
    number of entries: three per request to one owner, and two per second for
    each endpoint where this entry has work.

    Args:
      entry: identifies this start of this process.
      share: returns this entry's work at an endpoint, None if it is gone.
      announcements: returns the announcements received recently.
      send: sends a message to an entry.
    """

    def __init__(
        self,
        entry: str,
        ring: OwnerRing,
        share: Callable[[EndpointId], WorkShare | None],
        announcements: Callable[[], Announcements],
        send: Callable[[LoadReport, Address], None],
        clock: IReactorTime,
    ):
        self._entry = entry
        self._ring = ring
        self._share = share
        self._announcements = announcements
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
        """Schedules a report after work at an endpoint progressed or ended."""
        self._changed.add(endpoint)
        if self._timer is None:
            self._timer = self._clock.callLater(
                _BATCH_DELAY_S, self._report_changed
            )

    def announce_rollout(self, rollout: Rollout) -> None:
        """Announces to all other entries which engines load weights now.

        Engines reject requests while they load, and the retry budget is small.
        The key-value service also announces it, but up to a second later.
        """
        self._announce(Announcements(rollout=rollout))

    def announce_leaving(self, endpoint: LeavingEndpoint) -> None:
        """Announces to all other entries that an endpoint leaves.

        They would learn it from answers of their own or from its owner, but
        those with work there need it before the endpoint closes their
        connections, which would look like a crash.
        """
        self._announce(Announcements(leaving=(endpoint,)))

    def owners_changed(self) -> None:
        """Reports all work again after a change of owners."""
        self._report_all(self._active)

    def tick(self, now: float) -> None:
        """Repeats the report of all work in progress at intervals."""
        if now - self._repeated_at >= _REPEAT_INTERVAL_S:
            self._repeated_at = now
            self._report_all(self._active)

    def stop(self) -> None:
        """Stops scheduled reports."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _announce(self, announcements: Announcements) -> None:
        report = self._new_report((), (), announcements)
        for address in self._ring.others:
            self._send(report, address)

    def _new_report(
        self,
        shares: tuple[WorkShare, ...],
        placements: tuple[Placement, ...],
        announcements: Announcements,
    ) -> LoadReport:
        self._number += 1
        return LoadReport(
            self._entry,
            self._number,
            shares,
            placements,
            announcements.rollout,
            announcements.evacuated,
            announcements.leaving,
        )

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

        An empty share is sent twice, so that the loss of one datagram does not
        hide the end of the last request.
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
        announcements = self._announcements()
        report = self._new_report(tuple(shares), placements, announcements)
        self._send(report, owner)
