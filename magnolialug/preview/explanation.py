"""What a preview answers: where a request would go, and why."""

import enum
from typing import Any

import msgspec

from magnolialug.ids import EndpointId, ServiceName, TeamId, ZoneId
from magnolialug.policy.choice import Candidate
from magnolialug.result import Failure

__all__ = [
    "Basis",
    "Compared",
    "Explanation",
    "Outcome",
    "PassedOver",
    "QueuedAt",
    "Refusal",
    "reason_for",
]


class Outcome(enum.Enum):
    """What would become of the request now."""

    SENT = "sent"
    WAITS = "waits"
    REFUSED = "refused"


class Basis(enum.Enum):
    """Where the compared load comes from."""

    OWNERS = "replies of all owners"
    SOME_OWNERS = "replies of some owners, own knowledge for the rest"
    OWN_KNOWLEDGE = "own knowledge only"


class Refusal(msgspec.Struct, frozen=True):
    """Why a request would be refused, or a preview is not made."""

    code: int
    name: str
    reason: str
    field: str = ""
    value: str = ""
    retry_after_s: float = 0.0

    @classmethod
    def of(cls, failure: Failure) -> "Refusal":
        """Returns a failure as it is shown."""
        return cls(
            failure.code.value,
            failure.code.name,
            failure.reason,
            failure.field,
            failure.value,
            round(failure.retry_after_s, 3),
        )


class Compared(msgspec.Struct, frozen=True):
    """A compared endpoint and its load from all gateways.

    Attributes:
      candidate: what the choice goes by.
      running: requests in progress there.
      pending_prefill: prompt tokens that wait to be read for other gateways'
        requests, by priority.
      writing: other gateways' streams that have begun.
      waiting: prompts in its admission queue.
      held_share: the share of its memory in use, None for a plain service.
      ahead_s: expected wait before its prefill of this prompt.
      first_event_s: expected time to the first event.
      unread: prompt tokens that it would read.
      tokens_per_s: its measured prefill rate.
      keeps_pauses: whether the pauses of its streams would hold beside this
        prompt; a long prompt for which they would not does not start soon.
      cached_parts: leading parts that it has itself.
      sources: each shared part and where it would come from, or why not.
      reply_age_ms: age of its owner's reply, None if none has come.
    """

    endpoint: EndpointId
    zone: ZoneId
    state: str
    candidate: dict[str, Any]
    running: int
    weights: int = 0
    pending_prefill: tuple[int, ...] = ()
    writing: int = 0
    waiting: int = 0
    held_share: float | None = None
    ahead_s: float | None = None
    first_event_s: float | None = None
    unread: int = 0
    tokens_per_s: int | None = None
    keeps_pauses: bool | None = None
    cached_parts: int = 0
    sources: tuple[tuple[str, str], ...] = ()
    reply_age_ms: int | None = None


class PassedOver(msgspec.Struct, frozen=True):
    """An endpoint that was looked at, and why it was not compared."""

    endpoint: EndpointId
    why: str


class QueuedAt(msgspec.Struct, frozen=True):
    """An admission queue that the prompt would wait in."""

    endpoint: EndpointId
    tokens: int
    unread: int


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go now, and why.

    Attributes:
      endpoint: where it would be sent, "" if it would not be sent now.
      queues: the queues that it would enter, the first choice first.
      queued_work_s: it is admitted only where less prefill is ahead of it.
      basis: None if nothing was compared.
      notes: what the preview cannot tell.
    """

    vm: str
    outcome: Outcome
    reason: str
    route: str = ""
    service: ServiceName = ServiceName("")
    team: TeamId = TeamId("")
    priority: int | None = None
    endpoint: EndpointId = EndpointId("")
    refusal: Refusal | None = None
    queues: tuple[QueuedAt, ...] = ()
    queued_work_s: float | None = None
    compared: tuple[Compared, ...] = ()
    passed_over: tuple[PassedOver, ...] = ()
    basis: Basis | None = None
    notes: tuple[str, ...] = ()


def reason_for(chosen: Candidate) -> str:
    """Returns why a candidate was chosen.

    The choice prefers sound ones, of these the reported, of these the ones
    with room. So what the chosen one lacks, no candidate has.
    """
    if not chosen.sound:
        return "cheapest of all, since none is sound"
    if not chosen.reported:
        return "cheapest sound one; no owner has reported a sound one's load"
    if not chosen.room:
        return "cheapest sound one; none has room"
    return "cheapest sound one with room"
