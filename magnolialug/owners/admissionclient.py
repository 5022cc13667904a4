"""Requests admission for prompts from the owners of engines."""

import itertools
from collections.abc import Callable, Iterable

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.fairness.standings import PromptFlows, WaitStandings
from magnolialug.guard import Guard
from magnolialug.ids import EndpointId
from magnolialug.owners.messages import (
    AdmissionReply,
    AdmissionState,
    Dequeue,
    Enqueue,
)
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.policy.admissionlead import AdmissionLead
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.policy.waitledger import FlowId, WaitReport
from magnolialug.result import Code, Failure, failed

__all__ = ["AdmissionClient", "AdmissionRequest"]

# Well below the time after which an owner drops a prompt, so that lost
# datagrams do not remove a waiting prompt.
_RENEW_INTERVAL_S = 0.2
# An owner that does not reply for this long has stopped or is disconnected.
_OWNER_TIMEOUT_S = 0.5
_RETRY_AFTER_S = 1.0


class AdmissionRequest(msgspec.Struct, frozen=True):
    """The resources that a prompt needs of one engine.

    Attributes:
      tokens: memory that the prompt needs, in tokens.
      unread: prompt tokens that the engine has to prefill.
    """

    endpoint: EndpointId
    tokens: int
    unread: int


class _Place(msgspec.Struct):
    """A prompt's place in one engine's queue.

    Attributes:
      is_first_choice: whether no other prompt overtakes it in this queue.
      last_reply_at: when the owner last replied.
      retry_after_s: if the deadline cannot be met in this queue, when the
        caller may retry; None otherwise.
    """

    request: AdmissionRequest
    owner: Address
    is_first_choice: bool
    last_reply_at: float
    retry_after_s: float | None = None


class _PendingPrompt(msgspec.Struct):
    waiting: WaitingPrompt
    ahead_s: float
    places: dict[EndpointId, _Place]
    granted: Deferred
    refusal: Callable[[], Failure | None]
    begun_at: float
    flows: PromptFlows | None
    on_lead: Callable[[AdmissionLead], None]


class AdmissionClient:
    """Enqueues a prompt for several engines and uses the first grant.

    A queue in each entry would not see the prompts of other entries, and would
    see their requests too late. A queue for each engine moves only when that
    engine has free memory, so a prompt waits in a few of them.

    Attributes:
      guard: renews each prompt's places.

    Args:
      entry: identifies this start of this process.
      send: sends a message to an entry.
      standings: who has waited before, over all entries.
    """

    def __init__(
        self,
        entry: str,
        ring: OwnerRing,
        send: Callable[[Enqueue | Dequeue, Address], None],
        clock: IReactorTime,
        standings: WaitStandings,
    ):
        self.guard = Guard(clock.seconds)
        self._entry = entry
        self._ring = ring
        self._send = send
        self._clock = clock
        self._standings = standings
        self._rows: dict[int, _PendingPrompt] = {}
        self._numbers = itertools.count(1)
        self._timer = None

    @property
    def waiting(self) -> int:
        """The number of waiting prompts."""
        return len(self._rows)

    def enqueue(
        self,
        waiting: WaitingPrompt,
        requests: Iterable[AdmissionRequest],
        ahead_s: float,
        refusal: Callable[[], Failure | None] = lambda: None,
        flows: PromptFlows | None = None,
        on_lead: Callable[[AdmissionLead], None] = lambda lead: None,
    ) -> Deferred[EndpointId | Failure | None]:
        """Returns the engine that admits a prompt.

        The result is a failure if no grant can come in time. It is None if no
        owner replies or all engines are gone; the prompt is then placed again.

        Args:
          waiting: the prompt; its times are on this process's clock.
          requests: the engines that it may go to, the best one first.
          ahead_s: it is admitted only by an engine with less than this time of
            prefill ahead of it.
          refusal: returns why the prompt may not be sent any more, None while
            it may.
          flows: whose prompt it is, None where nobody else's is weighed
            against it.
          on_lead: receives the prompt's lead whenever an owner tells it.
        """
        now = self._clock.seconds()
        number = next(self._numbers)
        places = {
            request.endpoint: _Place(
                request, self._ring.owner(request.endpoint), rank == 0, now
            )
            for rank, request in enumerate(requests)
        }
        granted: Deferred[EndpointId | Failure | None] = Deferred(
            lambda _: self._end(number)
        )
        self._rows[number] = _PendingPrompt(
            waiting, ahead_s, places, granted, refusal, now, flows, on_lead
        )
        self._renew(number)
        if flows is not None:
            self._standings.query(flows)
        if self._timer is None and number in self._rows:
            self._timer = self._clock.callLater(
                _RENEW_INTERVAL_S, self._renew_all
            )
        return granted

    def on_reply(self, reply: AdmissionReply, owner: Address) -> None:
        """Processes an owner's reply."""
        self._ring.mark_responsive(owner)
        row = self._rows.get(reply.number)
        if row is None:
            self._leave(reply.number, owner)
            return
        place = row.places.get(reply.endpoint)
        if place is None:
            return
        place.last_reply_at = self._clock.seconds()
        row.on_lead(AdmissionLead(reply.lead_ms / 1000, reply.lead_reason))
        if reply.state is AdmissionState.GRANTED:
            self._finish(reply.number, reply.endpoint)
        elif reply.state is AdmissionState.GONE:
            del row.places[reply.endpoint]
            if not row.places:
                self._finish(reply.number, None)
        else:
            too_late = reply.state is AdmissionState.TOO_LATE
            place.retry_after_s = reply.after_ms / 1000 if too_late else None
            self._refuse_if_too_late(reply.number, row)

    def renew_flows(self, flows: set[FlowId]) -> None:
        """Renews the places of prompts whose flows have new standings."""
        for number, row in list(self._rows.items()):
            if row.flows is not None and flows & row.flows.ids:
                self._renew(number)

    def stop(self) -> None:
        """Stops renewing places."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _refuse_if_too_late(self, number: int, row: _PendingPrompt) -> None:
        """Refuses a prompt that cannot meet its deadline in any queue."""
        delays_s = [place.retry_after_s for place in row.places.values()]
        if None not in delays_s:
            self._finish(number, _no_room(min(delays_s)))

    def _renew_all(self) -> None:
        self._timer = None
        try:
            self._renew_rows()
        finally:
            # Otherwise one failure would end all renewals and deadlines.
            if self._rows:
                self._timer = self._clock.callLater(
                    _RENEW_INTERVAL_S, self._renew_all
                )

    def _renew_rows(self) -> None:
        now = self._clock.seconds()
        for number, row in list(self._rows.items()):
            exc = self.guard.call(
                "admission renewal", self._renew_row, number, row, now
            )
            is_over = now >= row.waiting.ends_at and number in self._rows
            if exc is not None and is_over:
                self._finish(number, _no_room(_RETRY_AFTER_S))

    def _renew_row(self, number: int, row: _PendingPrompt, now: float) -> None:
        """Renews a prompt's places, or ends its wait."""
        refusal = row.refusal()
        if refusal is None and now >= row.waiting.ends_at:
            refusal = _no_room(_RETRY_AFTER_S)
        if refusal is not None:
            self._finish(number, refusal)
            return
        self._drop_unresponsive(number, row, now)
        if number in self._rows:
            self._renew(number)

    def _drop_unresponsive(
        self, number: int, row: _PendingPrompt, now: float
    ) -> None:
        for endpoint, place in list(row.places.items()):
            if now - place.last_reply_at >= _OWNER_TIMEOUT_S:
                self._ring.mark_unresponsive(place.owner)
                del row.places[endpoint]
        if not row.places:
            self._finish(number, None)

    def _renew(self, number: int) -> None:
        """Renews a prompt's places in all its queues."""
        row = self._rows[number]
        now = self._clock.seconds()
        claimant = None
        if row.flows is not None:
            claimant = self._standings.claimant(row.flows)
        for place in list(row.places.values()):
            message = Enqueue(
                entry=self._entry,
                number=number,
                endpoint=place.request.endpoint,
                priority=row.waiting.priority,
                tokens=place.request.tokens,
                unread=place.request.unread,
                target_ms=int((row.waiting.target_at - now) * 1000),
                ends_ms=int((row.waiting.ends_at - now) * 1000),
                ahead_ms=int(row.ahead_s * 1000),
                queue_count=len(row.places),
                is_first_choice=place.is_first_choice,
                claimant=claimant,
            )
            self._send(message, place.owner)

    def _end(self, number: int) -> None:
        """Removes a prompt from all queues."""
        row = self._rows.pop(number, None)
        if row is not None:
            self._record_wait(row, None)
            self._leave_all(number, row)

    def _leave_all(self, number: int, row: _PendingPrompt) -> None:
        for owner in {place.owner for place in row.places.values()}:
            self._leave(number, owner)

    def _leave(self, number: int, owner: Address) -> None:
        self._send(Dequeue(self._entry, number), owner)

    def _finish(self, number: int, result: EndpointId | Failure | None) -> None:
        """Ends a wait, and leaves the queues once the request has been sent.

        If the queues were left first, the reserved memory would be granted to
        the next prompt before the owner receives the report of the request.
        """
        row = self._rows.pop(number)
        if result is not None:
            self._record_wait(row, result)
        row.granted.callback(result)
        self._leave_all(number, row)

    def _record_wait(
        self, row: _PendingPrompt, result: EndpointId | Failure | None
    ) -> None:
        """Reports a wait that has ended.

        A refused one counts in full, because refusing someone early would
        appear to make him wait less. What its caller loses is the time until
        it may return.

        Args:
          result: as in `_finish`; None if the caller has left.
        """
        if row.flows is None:
            return
        waited_s = self._clock.seconds() - row.begun_at
        lost_s, tokens = waited_s, 0
        if isinstance(result, Failure):
            if result.code is not Code.NO_ROOM:
                return
            lost_s += result.retry_after_s or 0.0
            waited_s = max(waited_s, row.waiting.ends_at - row.begun_at)
        elif result is not None:
            tokens = row.places[result].request.tokens
        for flow in (row.flows.team, row.flows.dossier):
            if flow is not None:
                waited_ms = round(waited_s * 1000)
                self._standings.record(WaitReport(flow, 1, waited_ms, tokens))
        if not tokens:
            lost_ms = round(lost_s * 1000)
            self._standings.record(WaitReport(row.flows.request, 1, lost_ms))


def _no_room(after_s: float) -> Failure:
    reason = "no engine has memory for the prompt in time"
    return failed(Code.NO_ROOM, reason, retry_after_s=after_s)
