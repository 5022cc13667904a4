"""Reports to the owners of a service what concerns crashes of its engines."""

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.ids import EndpointId, EngineBuild, RequestDigest, ServiceName
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.wiring import Messenger
from magnolialug.policy.answeredparts import AnsweredParts
from magnolialug.policy.crashevidence import LostPrompt
from magnolialug.policy.recenttimes import RecentTimes
from magnolialug.policy.requestidentity import RequestIdentity
from magnolialug.quarantine.batches import batches
from magnolialug.quarantine.crashdetector import LostAttempt
from magnolialug.quarantine.messages import (
    AnsweredPart,
    AnsweredPartsQuery,
    AnsweredPartsReport,
    PendingPart,
    PromptCrashReport,
)
from magnolialug.quarantine.quarantinelist import QuarantineList

__all__ = [
    "MAX_PARTS",
    "PARTS_PER_MESSAGE",
    "QUERY_LIFETIME_S",
    "Attempt",
    "PartReporter",
]

# After a query, entries report for this long when a part is answered. It is
# asked for again only after that time.
QUERY_LIFETIME_S = 60.0
# Bounds memory use; what a few crashes of full engines can name.
MAX_PARTS = 4096
# Limit a message to 1,400 bytes, at 60 bytes a prompt and 34 a part at most.
PARTS_PER_MESSAGE = 16
_PROMPTS_PER_MESSAGE = 12
# An engine that has written an answer for this long does not crash on its
# prompt.
_BEGINNING_S = 0.5
_REPORT_INTERVAL_S = 1.0
# Engines that are named for each part that a query names, those first that have
# had it for longest.
_PENDING_ENGINES = 3
# Limits a message to 1,400 bytes, at 110 bytes a row at most.
_PENDING_PER_MESSAGE = 12


class Attempt(Protocol):
    """An attempt that has not ended.

    Attributes:
      sent_at: when it was sent, in seconds.
      start_id: the start of the engine that it was sent to.
      identity: of its request.
    """

    sent_at: float
    start_id: EndpointId
    identity: RequestIdentity


class PartReporter:
    """Reports lost prompts, and parts of prompts that engines have answered.

    No two prompts with a part that crashes engines are alike. All prompts that
    were lost with an engine go to the owners of its service, as only all of
    them together tell a cause from bystanders.

    Args:
      owners: selects the entries that decide.
      quarantined: names the parts whose answers are reported in any case.
      answered: the parts that were answered, here or at other entries.
      in_progress: returns the attempts of this entry that have not ended.
    """

    def __init__(
        self,
        owners: OwnerRing,
        messenger: Messenger,
        clock: IReactorTime,
        quarantined: QuarantineList,
        answered: AnsweredParts,
        in_progress: Callable[[], Iterable[Attempt]],
    ):
        self._owners = owners
        self._messenger = messenger
        self._clock = clock
        self._quarantined = quarantined
        self._answered = answered
        self._in_progress = in_progress
        self._queried = RecentTimes(QUERY_LIFETIME_S, MAX_PARTS)
        self._reported = RecentTimes(QUERY_LIFETIME_S, MAX_PARTS)
        messenger.register_handler(AnsweredPartsQuery, self._answer_query)

    def tick(self, now: float) -> None:
        """Forgets old queries."""
        self._queried.drop_expired(now)
        self._reported.drop_expired(now)

    def report_crash(
        self, endpoint: EndpointId, losses: Iterable[LostAttempt]
    ) -> None:
        """Reports the prompts that were lost with an engine to its owners."""
        now = self._clock.seconds()
        by_service: dict[
            tuple[ServiceName, EngineBuild], dict[RequestDigest, LostPrompt]
        ] = {}
        for loss in losses:
            prompt = self._lost_prompt(loss, now)
            key = loss.identity.service, loss.build
            by_service.setdefault(key, {})[prompt.digest] = prompt
        for (service, build), prompts in by_service.items():
            for batch in _prompt_batches(prompts.values()):
                report = PromptCrashReport(service, endpoint, build, batch)
                self._send_to_owners(service, report)

    def record_answer(
        self, identity: RequestIdentity, build: EngineBuild
    ) -> None:
        """Records that an engine has answered a prompt."""
        now = self._clock.seconds()
        service = identity.service
        self._answered.record(
            service, identity.parts, build, now, identity.team
        )
        wanted = [
            part
            for part in identity.parts
            if self._is_wanted(service, part, now)
        ]
        if wanted:
            self._report_answered(service, wanted, now)

    def _lost_prompt(self, loss: LostAttempt, now: float) -> LostPrompt:
        identity = loss.identity
        if loss.lost_at - loss.first_data_at >= _BEGINNING_S:
            self.record_answer(identity, loss.build)
        parts = tuple(
            part
            for part in identity.parts
            if not self._answered.rules_out(
                identity.service, part, loss.build, loss.lost_at
            )
        )
        age_ms = round((now - loss.sent_at) * 1000)
        return LostPrompt(identity.digest, identity.team, parts, age_ms)

    def _is_wanted(self, service: ServiceName, part: str, now: float) -> bool:
        """Whether to report that a part was answered."""
        key = service, part
        if self._reported.age_s(key, now) < _REPORT_INTERVAL_S:
            return False
        is_queried = self._queried.age_s(key, now) <= QUERY_LIFETIME_S
        return is_queried or self._quarantined.names_part(service, part)

    def _report_answered(
        self, service: ServiceName, parts: list[str], now: float
    ) -> None:
        for part in parts:
            self._reported.record((service, part), now)
        for report in self._answered_reports(service, parts, now):
            self._send_to_owners(service, report)

    def _answered_reports(
        self, service: ServiceName, parts: Iterable[str], now: float
    ) -> list[AnsweredPartsReport]:
        rows = [
            AnsweredPart(part, build, round((now - at) * 1000))
            for part in parts
            for build, at in self._answered.builds(service, part).items()
        ]
        return [
            AnsweredPartsReport(service, batch)
            for batch in batches(rows, PARTS_PER_MESSAGE)
        ]

    def _answer_query(self, query: AnsweredPartsQuery, sender) -> None:
        now = self._clock.seconds()
        for part in query.parts:
            self._queried.record((query.service, part), now)
        for report in self._answered_reports(query.service, query.parts, now):
            self._messenger.send(report, sender)
        pending = self._pending_parts(query, now)
        for batch in batches(pending, _PENDING_PER_MESSAGE):
            report = AnsweredPartsReport(query.service, (), batch)
            self._messenger.send(report, sender)

    def _pending_parts(
        self, query: AnsweredPartsQuery, now: float
    ) -> list[PendingPart]:
        """Returns the engines that have prompts with the parts of a query."""
        asked = set(query.parts)
        since: dict[str, dict[EndpointId, float]] = {}
        for attempt in self._in_progress():
            identity = attempt.identity
            if identity.service != query.service:
                continue
            for part in asked.intersection(identity.parts):
                engines = since.setdefault(part, {})
                sent_at = engines.get(attempt.start_id, now)
                engines[attempt.start_id] = min(sent_at, attempt.sent_at)
        return [
            PendingPart(part, engine, round((now - engines[engine]) * 1000))
            for part, engines in since.items()
            for engine in sorted(engines, key=engines.get)[:_PENDING_ENGINES]
        ]

    def _send_to_owners(self, service: ServiceName, message) -> None:
        for owner in self._service_owners(service):
            self._messenger.send(message, owner)

    def _service_owners(self, service: ServiceName) -> set[Address]:
        """Returns the owners of a service; this entry if it reaches none.

        An entry that knows its own losses only would take a bystander that it
        lost again and again for the cause.
        """
        owners = set(self._owners.owner_candidates(f"crashes/{service}"))
        if not any(map(self._owners.is_responsive, owners)):
            owners.add(self._owners.me)
        return owners


def _prompt_batches(
    prompts: Iterable[LostPrompt],
) -> Iterator[tuple[LostPrompt, ...]]:
    """Yields prompts for one message each; one with many parts is split."""
    batch: list[LostPrompt] = []
    parts = 0
    for prompt in prompts:
        for piece in batches(prompt.parts, PARTS_PER_MESSAGE):
            is_full = parts + len(piece) > PARTS_PER_MESSAGE
            if batch and (is_full or len(batch) == _PROMPTS_PER_MESSAGE):
                yield tuple(batch)
                batch, parts = [], 0
            batch.append(msgspec.structs.replace(prompt, parts=piece))
            parts += len(piece)
    if batch:
        yield tuple(batch)
