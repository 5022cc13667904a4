"""Messages between entries about requests that crash endpoints.

Each is one datagram. Several entries hold a request's crash count, so that it
survives the loss of a datagram and the restart of an entry.

The tags must not change: during a rolling upgrade, entries of two releases
exchange these messages.
"""

import msgspec

from magnolialug.ids import (
    EndpointId,
    EngineBuild,
    RequestDigest,
    ServiceName,
)
from magnolialug.policy.crashevidence import LostPrompt
from magnolialug.policy.partpattern import PartPattern

__all__ = [
    "CrashReport",
    "LostRequest",
    "PromptCrashReport",
    "Quarantined",
    "Released",
    "RequestCompleted",
    "AnsweredPart",
    "AnsweredPartsQuery",
    "AnsweredPartsReport",
    "PendingPart",
]


class LostRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in progress at an endpoint when it crashed.

    Attributes:
      answered: whether part of the answer had arrived.
    """

    digest: RequestDigest
    answered: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="blamed"):
    """An endpoint has crashed while serving these requests of the sender."""

    endpoint: EndpointId
    losses: tuple[LostRequest, ...]


class RequestCompleted(
    msgspec.Struct, frozen=True, array_like=True, tag="survived"
):
    """An endpoint has answered a request that a crash report named before."""

    digest: RequestDigest


class Quarantined(msgspec.Struct, frozen=True, array_like=True, tag="bar"):
    """A request is quarantined: it must not be sent to any endpoint.

    Attributes:
      digest: identifies the request, or the pattern.
      crashed_endpoints: the endpoints that crashed while serving it.
      for_ms: duration of the quarantine, 0 for a permanent one.
      pattern: matches all requests that are quarantined, None if it is one.
    """

    digest: RequestDigest
    crashed_endpoints: tuple[EndpointId, ...]
    for_ms: int = 0
    pattern: PartPattern | None = None


class Released(msgspec.Struct, frozen=True, array_like=True, tag="unbar"):
    """A request or pattern is quarantined no longer."""

    digest: RequestDigest


class PromptCrashReport(
    msgspec.Struct, frozen=True, array_like=True, tag="lostprompts"
):
    """An engine has crashed while serving these prompts of the sender."""

    service: ServiceName
    endpoint: EndpointId
    build: EngineBuild
    prompts: tuple[LostPrompt, ...]


class AnsweredPartsQuery(
    msgspec.Struct, frozen=True, array_like=True, tag="answeredquery"
):
    """Asks which of these parts the sender's engines have answered."""

    service: ServiceName
    parts: tuple[str, ...]


class AnsweredPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts that an engine of some build has answered."""

    name: str
    build: EngineBuild
    age_ms: int


class PendingPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that is in progress at an engine.

    Attributes:
      endpoint: the start of the engine.
      age_ms: the time since the prompt was sent.
    """

    name: str
    endpoint: EndpointId
    age_ms: int


class AnsweredPartsReport(
    msgspec.Struct, frozen=True, array_like=True, tag="answered"
):
    """Parts of prompts that engines of a service have answered.

    Attributes:
      pending: parts of prompts in progress; earlier releases neither send nor
        read them.
    """

    service: ServiceName
    parts: tuple[AnsweredPart, ...]
    pending: tuple[PendingPart, ...] = ()
