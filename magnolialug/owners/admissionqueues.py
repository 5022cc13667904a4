"""Admits waiting prompts, one queue for each engine."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.guard import Guard
from magnolialug.ids import EndpointId
from magnolialug.owners.ledgers import Ledgers
from magnolialug.owners.messages import (
    AdmissionReply,
    AdmissionState,
    Dequeue,
    Enqueue,
)
from magnolialug.policy.admissionlead import (
    NO_LEAD,
    AdmissionLead,
    bounded_claimant,
)
from magnolialug.policy.admissionorder import WaitingPrompt
from magnolialug.policy.admissionqueue import QueuedPrompt
from magnolialug.policy.endpointledger import EndpointLedger

__all__ = ["AdmissionQueues"]

# Interval between attempts to admit prompts while any wait.
_GRANT_INTERVAL_S = 0.02
# Time from a grant to the first event on a busy engine, without the prefill of
# the prompt itself.
_FIRST_EVENT_DELAY_S = 0.2
# Assumed prefill rate of an engine that has not answered yet.
_DEFAULT_PREFILL_TOKENS_PER_S = 75_000.0

Ticket = tuple[str, int]


class AdmissionQueues:
    """The admission queues of the engines that this entry owns.

    Attributes:
      guard: grants the prompts of each queue.

    Args:
      send: sends a message to an entry.
    """

    def __init__(
        self,
        ledgers: Ledgers,
        send: Callable[[AdmissionReply, Address], None],
        clock: IReactorTime,
    ):
        self.guard = Guard(clock.seconds)
        self._ledgers = ledgers
        self._send = send
        self._clock = clock
        self._clients: dict[str, Address] = {}
        self._timer = None

    @property
    def waiting(self) -> int:
        """The number of prompts in the queues of this entry."""
        return sum(len(ledger.queue) for ledger in self._ledgers)

    def enqueue(self, message: Enqueue, client: Address) -> None:
        """Adds a prompt to an engine's queue, or renews it, and replies."""
        ticket = (message.entry, message.number)
        self._clients[message.entry] = client
        ledger = self._ledgers.of(message.endpoint)
        if not self._is_open(message.endpoint):
            self._reply(ticket, message.endpoint, AdmissionState.GONE)
        elif ledger.has_reservation(ticket):
            self._reply(ticket, message.endpoint, AdmissionState.GRANTED)
        else:
            self._put(ledger, ticket, message)

    def dequeue(self, message: Dequeue) -> None:
        """Removes a prompt from all queues."""
        for ledger in self._ledgers:
            ledger.remove_prompt((message.entry, message.number))

    def stop(self) -> None:
        """Stops admitting prompts."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _put(
        self, ledger: EndpointLedger, ticket: Ticket, message: Enqueue
    ) -> None:
        now = self._clock.seconds()
        claimant = message.claimant
        waiting = WaitingPrompt(
            number=0,
            priority=message.priority,
            target_at=now + message.target_ms / 1000,
            ends_at=now + message.ends_ms / 1000,
            size=message.tokens / max(1, ledger.memory),
            first_event_s=_FIRST_EVENT_DELAY_S
            + message.unread / self._rate(ledger),
        )
        row = QueuedPrompt(
            ticket=ticket,
            waiting=waiting,
            tokens=message.tokens,
            unread=message.unread,
            ahead_s=message.ahead_ms / 1000,
            lists=message.queue_count,
            first=message.is_first_choice,
            renewed_at=now,
            claimant=None if claimant is None else bounded_claimant(claimant),
        )
        ledger.queue.put(row)
        after_s = ledger.queue.retry_after_s(ticket, now)
        too_late = after_s is not None
        state = AdmissionState.TOO_LATE if too_late else AdmissionState.QUEUED
        lead = ledger.queue.lead(ticket)
        self._reply(ticket, message.endpoint, state, after_s or 0.0, lead)
        self._schedule_grants()

    def _rate(self, ledger: EndpointLedger) -> float:
        """Returns the prompt tokens that an engine reads in a second."""
        pace = ledger.pace(self._clock.seconds())
        if pace is not None and pace.tokens_per_s:
            return pace.tokens_per_s
        facts = self._ledgers.facts(ledger.endpoint)
        return (
            facts.rate
            if facts and facts.rate
            else _DEFAULT_PREFILL_TOKENS_PER_S
        )

    def _is_open(self, endpoint: EndpointId) -> bool:
        facts = self._ledgers.facts(endpoint)
        return facts is not None and facts.open

    def _schedule_grants(self) -> None:
        if self._timer is None and self.waiting:
            self._timer = self._clock.callLater(
                _GRANT_INTERVAL_S, self._grant_all
            )

    def _grant_all(self) -> None:
        self._timer = None
        now = self._clock.seconds()
        for ledger in self._ledgers:
            if len(ledger.queue):
                self.guard.call("admission grant", self._grant, ledger, now)
        if not self.waiting:
            self._clients.clear()
        self._schedule_grants()

    def _grant(self, ledger: EndpointLedger, now: float) -> None:
        ledger.drop_expired(now)
        endpoint = ledger.endpoint
        if not self._is_open(endpoint):
            for ticket in ledger.queue.clear():
                self._reply(ticket, endpoint, AdmissionState.GONE)
            return
        facts = self._ledgers.facts(endpoint)
        if not facts.sound or ledger.is_silent(now):
            return
        while row := ledger.grant_next(now, self._rate(ledger)):
            self._reply(
                row.ticket, endpoint, AdmissionState.GRANTED, lead=row.lead
            )

    def _reply(
        self,
        ticket: Ticket,
        endpoint: EndpointId,
        state: AdmissionState,
        after_s: float = 0.0,
        lead: AdmissionLead = NO_LEAD,
    ) -> None:
        entry, number = ticket
        address = self._clients.get(entry)
        if address is not None:
            reply = AdmissionReply(
                number,
                endpoint,
                state,
                int(after_s * 1000),
                round(lead.lead_s * 1000),
                lead.reason,
            )
            self._send(reply, address)
