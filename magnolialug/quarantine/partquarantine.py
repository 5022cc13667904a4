"""Finds parts of prompts that crash engines, together with other entries."""

import msgspec
from twisted.internet.interfaces import IReactorTime

from magnolialug.carrier.pool import Address
from magnolialug.ids import (
    EndpointId,
    EngineBuild,
    RequestDigest,
    ServiceName,
)
from magnolialug.owners.ownerring import OwnerRing
from magnolialug.owners.wiring import Messenger
from magnolialug.policy.answeredparts import AnsweredParts
from magnolialug.policy.crashevidence import (
    CrashEvidence,
    Finding,
)
from magnolialug.policy.partpattern import PartPattern
from magnolialug.policy.pendingparts import PendingParts
from magnolialug.policy.recenttimes import RecentTimes
from magnolialug.policy.requestidentity import RequestIdentity
from magnolialug.quarantine.batches import batches
from magnolialug.quarantine.messages import (
    AnsweredPartsQuery,
    AnsweredPartsReport,
    PromptCrashReport,
    Quarantined,
    Released,
)
from magnolialug.quarantine.partreporter import (
    MAX_PARTS,
    PARTS_PER_MESSAGE,
    QUERY_LIFETIME_S,
)
from magnolialug.quarantine.quarantinelist import QuarantineList

__all__ = ["PartQuarantine"]

# Time for the other entries to say which parts were answered.
_REPLY_S = 0.1
# Time for all entries to report what they lost in a crash.
_SETTLE_S = 0.05
# Each finding is sent this often, as datagrams get lost.
_ANNOUNCEMENTS = 3
_ANNOUNCEMENT_INTERVAL_S = 0.2
# Longest time that a verdict waits for prompts that may rule it out. Three
# seconds after the third crash poison requests must be kept back.
_MAX_HOLD_S = 2.5
# Bounds memory use; services times the builds of an upgrade.
_MAX_BUILDS = 64
# Bounds memory use.
_MAX_FINDINGS = 1000
# Parts that are asked for at once, those at the most crashes first.
_MAX_ASKED = 256


class _Announcement(msgspec.Struct):
    message: Quarantined
    left: int
    due_at: float


class PartQuarantine:
    """Finds parts of prompts that crash engines and quarantines them.

    It decides for the services that this entry owns, from what the entries
    report of crashes. Before that, it asks all entries which parts were
    answered.

    Args:
      owners: selects the entries that decide.
      quarantined: the quarantine list, which takes the patterns found.
      answered: the parts that were answered, here or at other entries.
    """

    def __init__(
        self,
        owners: OwnerRing,
        messenger: Messenger,
        clock: IReactorTime,
        quarantined: QuarantineList,
        answered: AnsweredParts,
    ):
        self._owners = owners
        self._messenger = messenger
        self._clock = clock
        self._quarantined = quarantined
        self._answered = answered
        self._pending = PendingParts()
        self._evidence: dict[
            tuple[ServiceName, EngineBuild], CrashEvidence
        ] = {}
        self._changed: set[tuple[ServiceName, EngineBuild]] = set()
        self._asked = RecentTimes(QUERY_LIFETIME_S, MAX_PARTS)
        self._announcements: list[_Announcement] = []
        self._findings: dict[RequestDigest, Finding] = {}
        for message, handler in (
            (PromptCrashReport, self._record_crash),
            (
                AnsweredPartsReport,
                lambda report, _: self._record_answered(report),
            ),
        ):
            messenger.register_handler(message, handler)

    def tick(self, now: float) -> None:
        """Decides on new evidence and repeats announcements."""
        if self._changed:
            for service, build in list(self._changed):
                self._decide(service, build, now)
        if self._announcements:
            self._announce(now)
        self._asked.drop_expired(now)
        self._pending.drop_expired(now)

    def _record_crash(self, report: PromptCrashReport, sender: Address) -> None:
        self._remind(report, sender)
        key = report.service, report.build
        evidence = self._evidence.get(key)
        if evidence is None:
            evidence = CrashEvidence(*key, self._answered)
            self._evidence[key] = evidence
            if len(self._evidence) > _MAX_BUILDS:
                del self._evidence[next(iter(self._evidence))]
        evidence.record_crash(
            report.endpoint, report.prompts, self._clock.seconds()
        )
        self._changed.add(key)

    def _remind(self, report: PromptCrashReport, sender: Address) -> None:
        """Tells an entry of a pattern that it has not heard of.

        It sent a prompt that matches; all datagrams of the finding to it were
        lost, and it may not reach the key-value service either.
        """
        for prompt in report.prompts:
            identity = RequestIdentity(
                prompt.digest, report.service, prompt.team, prompt.parts
            )
            notice = self._quarantined.notice(identity)
            if notice is not None and sender != self._owners.me:
                self._messenger.send(notice, sender)

    def _record_answered(self, report: AnsweredPartsReport) -> None:
        now = self._clock.seconds()
        for row in report.pending:
            sent_at = now - row.age_ms / 1000
            self._pending.record(
                report.service, row.name, row.endpoint, sent_at, now
            )
        for row in report.parts:
            at = now - row.age_ms / 1000
            self._answered.record(report.service, [row.name], row.build, at)
            key = report.service, row.build
            if key in self._evidence:
                self._changed.add(key)

    def _decide(
        self, service: ServiceName, build: EngineBuild, now: float
    ) -> None:
        """Quarantines what is found, and releases what no longer explains."""
        evidence = self._evidence.get((service, build))
        if evidence is None:
            self._changed.discard((service, build))
            return
        self._ask(service, evidence.suspects(now), now)
        if now - evidence.last_crash_at < _SETTLE_S:
            return
        findings = evidence.findings(now)
        asked = [
            row
            for row in findings
            if self._is_asked(row, now)
            and not self._is_held(evidence, row, now)
        ]
        for finding in asked:
            self._quarantine(evidence, finding, now)
        self._release(evidence, findings)
        if len(asked) == len(findings):
            self._changed.discard((service, build))

    def _release(
        self, evidence: CrashEvidence, findings: list[Finding]
    ) -> None:
        """Releases findings that no longer explain their crashes best."""
        found = {finding.pattern.digest for finding in findings}
        explained = {
            endpoint
            for finding in findings
            if self._quarantined.covers(finding.pattern)
            for endpoint in finding.endpoints
        }
        for digest, finding in list(self._findings.items()):
            if digest not in found and (
                evidence.all_parts_answered(finding)
                or explained.issuperset(finding.endpoints)
            ):
                del self._findings[digest]
                self._send_to_all(Released(digest))

    def _ask(
        self, service: ServiceName, suspects: list[str], now: float
    ) -> None:
        new = [
            part
            for part in suspects
            if self._asked.age_s((service, part), now) > QUERY_LIFETIME_S
        ]
        for batch in batches(new[:_MAX_ASKED], PARTS_PER_MESSAGE):
            for part in batch:
                self._asked.record((service, part), now)
            self._send_to_all(AnsweredPartsQuery(service, batch))

    def _is_asked(self, finding: Finding, now: float) -> bool:
        """Whether all entries had time to object to a finding."""
        pattern = finding.pattern
        return all(
            _REPLY_S
            <= self._asked.age_s((pattern.service, part), now)
            <= QUERY_LIFETIME_S
            for part in pattern.parts
        )

    def _is_held(
        self, evidence: CrashEvidence, finding: Finding, now: float
    ) -> bool:
        """Whether to wait for an answer that may rule a finding out.

        A part that all prompts share is at every crash. Only an answer tells it
        from their cause, and once it is quarantined, there is none. Prompts
        with it that have not crashed their engines for long may be answered.
        """
        second_at, third_at = evidence.crash_times(finding)[1:3]
        if now - third_at >= _MAX_HOLD_S:
            return False
        survivors = self._engines_with(finding.pattern, second_at)
        return bool(survivors - evidence.crashed)

    def _engines_with(
        self, pattern: PartPattern, before: float
    ) -> set[EndpointId]:
        """Returns the engines that had all of a pattern before a time."""
        return set.intersection(
            *(
                self._pending.engines(pattern.service, part, before)
                for part in pattern.parts
            )
        )

    def _quarantine(
        self, evidence: CrashEvidence, finding: Finding, now: float
    ) -> None:
        """Announces a finding, unless it is known or has been released."""
        pattern = finding.pattern
        is_covered = self._quarantined.covers(pattern)
        if pattern.digest in self._findings:
            if not is_covered:
                # An operator has released it; only new crashes count again.
                del self._findings[pattern.digest]
                evidence.discard(finding.endpoints)
            return
        self._findings[pattern.digest] = finding
        if len(self._findings) > _MAX_FINDINGS:
            del self._findings[next(iter(self._findings))]
        if is_covered:
            return
        message = Quarantined(pattern.digest, finding.endpoints, 0, pattern)
        self._announcements.append(_Announcement(message, _ANNOUNCEMENTS, now))

    def _announce(self, now: float) -> None:
        for row in self._announcements:
            if now >= row.due_at and row.message.digest in self._findings:
                self._send_to_all(row.message)
                row.left -= 1
                row.due_at = now + _ANNOUNCEMENT_INTERVAL_S
        self._announcements = [
            row
            for row in self._announcements
            if row.left and row.message.digest in self._findings
        ]

    def _send_to_all(self, message) -> None:
        for entry in (self._owners.me, *self._owners.others):
            self._messenger.send(message, entry)
