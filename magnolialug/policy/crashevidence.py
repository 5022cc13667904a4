"""Finds the parts of prompts that explain crashes of endpoints."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from magnolialug.ids import (
    EndpointId,
    EngineBuild,
    RequestDigest,
    ServiceName,
    TeamId,
)
from magnolialug.policy.answeredparts import AnsweredParts
from magnolialug.policy.partpattern import PartPattern

__all__ = ["CrashEvidence", "Finding", "LostPrompt"]

# Faults under the same part. Two may be a coincidence.
_SUSPECT_AT_FAULTS = 2
_QUARANTINE_AT_FAULTS = 3
# For a part that engines of this build have answered before, three coincidences
# are more likely than that it crashes them now. With two explanations of the
# same crashes, the next crash usually decides. At this number of faults, either
# costs more than a wrong choice.
_CERTAIN_AT_FAULTS = 5
# Crashes of one fault, such as a loss of power, come within this time. A prompt
# that was sent after the previous crash is separate evidence at any time.
_FAULT_WINDOW_S = 0.25
_CRASH_WINDOW_S = 120.0
# Bounds memory use and the time of an evaluation.
_MAX_CRASHES = 32
_MAX_PROMPTS = 256


class LostPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that was in progress at an engine when it crashed.

    Attributes:
      parts: its shared parts, but for those that the sender can rule out.
      age_ms: the time since it was sent.
    """

    digest: RequestDigest
    team: TeamId
    parts: tuple[str, ...]
    age_ms: int


class Finding(msgspec.Struct, frozen=True):
    """A pattern of prompts that explains crashes."""

    pattern: PartPattern
    endpoints: tuple[EndpointId, ...]


class _Lost(msgspec.Struct, frozen=True):
    prompt: LostPrompt
    sent_at: float


class _Crash(msgspec.Struct):
    at: float
    lost: dict[RequestDigest, _Lost] = {}


class _Explanation(msgspec.Struct):
    """The crashes that one part would explain."""

    part: str
    crashes: list[EndpointId]
    answered_at: float
    faults: int = 0

    @property
    def is_sufficient(self) -> bool:
        """Whether the crashes are enough for this part."""
        if self.answered_at == float("-inf"):
            return self.faults >= _QUARANTINE_AT_FAULTS
        return self.faults >= _CERTAIN_AT_FAULTS

    @property
    def strength(self) -> tuple[int, float]:
        """Orders explanations: by faults, then by time without an answer."""
        return self.faults, -self.answered_at


class CrashEvidence:
    """Crashes of one service's engines of one build, and the lost prompts.

    Dozens of prompts are lost with an engine, and most are bystanders. They are
    retried, and some are lost again in the next crash. So a pattern is not
    found by counting alone: of the parts that no answer rules out, the
    one that explains the most crashes is found first, and what it explains is
    no evidence against others. The pattern names all that the prompts with that
    part have in common, so that it matches no more than the evidence tells.

    Attributes:
      last_crash_at: when the newest crash was first reported.
    """

    def __init__(
        self, service: ServiceName, build: EngineBuild, answered: AnsweredParts
    ):
        self._service = service
        self._build = build
        self._answered = answered
        self._crashes: OrderedDict[EndpointId, _Crash] = OrderedDict()
        self.last_crash_at = float("-inf")

    def record_crash(
        self,
        endpoint: EndpointId,
        prompts: Iterable[LostPrompt],
        now: float,
    ) -> None:
        """Records prompts that were lost with an engine.

        A prompt that was sent after the crash was first reported is left out:
        something took connections for the engine, which had not begun it. A
        prompt with many parts comes in pieces.
        """
        crash = self._crashes.get(endpoint)
        if crash is None:
            crash = self._crashes[endpoint] = _Crash(now)
            self.last_crash_at = now
        for prompt in prompts:
            sent_at = now - prompt.age_ms / 1000
            if sent_at > crash.at:
                continue
            known = crash.lost.get(prompt.digest)
            if known is not None:
                parts = dict.fromkeys((*known.prompt.parts, *prompt.parts))
                prompt = msgspec.structs.replace(prompt, parts=tuple(parts))
            if known is not None or len(crash.lost) < _MAX_PROMPTS:
                crash.lost[prompt.digest] = _Lost(prompt, sent_at)
        while len(self._crashes) > _MAX_CRASHES:
            self._crashes.popitem(last=False)

    def discard(self, endpoints: Iterable[EndpointId]) -> None:
        """Forgets the crashes of some engines."""
        for endpoint in endpoints:
            self._crashes.pop(endpoint, None)

    def suspects(self, now: float) -> list[str]:
        """Returns the parts that may explain two crashes, best first."""
        explanations = self._explanations(self._recent(now))
        explanations.sort(key=lambda row: row.strength, reverse=True)
        return [
            row.part for row in explanations if row.faults >= _SUSPECT_AT_FAULTS
        ]

    def findings(self, now: float) -> list[Finding]:
        """Returns the patterns that explain three crashes or more each."""
        crashes = self._recent(now)
        found = []
        while True:
            best = self._decisive_explanation(crashes)
            if best is None:
                return found
            finding = self._finding(best, crashes)
            found.append(finding)
            for endpoint in finding.endpoints:
                del crashes[endpoint]

    @property
    def crashed(self) -> set[EndpointId]:
        """The engines whose crashes are known."""
        return set(self._crashes)

    def crash_times(self, finding: Finding) -> list[float]:
        """Returns when each crash of a finding was reported, in order."""
        return sorted(self._crashes[name].at for name in finding.endpoints)

    def all_parts_answered(self, finding: Finding) -> bool:
        """Whether all parts of a pattern have been answered since."""
        pattern = finding.pattern
        return all(
            endpoint in self._crashes
            and self._is_ruled_out(part, self._crashes[endpoint])
            for endpoint in finding.endpoints
            for part in pattern.parts
        )

    def _recent(self, now: float) -> dict[EndpointId, _Crash]:
        return {
            endpoint: crash
            for endpoint, crash in self._crashes.items()
            if now - crash.at <= _CRASH_WINDOW_S
        }

    def _decisive_explanation(
        self, crashes: dict[EndpointId, _Crash]
    ) -> _Explanation | None:
        """Returns the strongest explanation, unless more crashes are needed."""
        explanations = [
            row for row in self._explanations(crashes) if row.is_sufficient
        ]
        if not explanations:
            return None
        best = max(explanations, key=lambda row: row.strength)
        ties = {
            row.part
            for row in explanations
            if row.strength == best.strength
            and not set(row.crashes).isdisjoint(best.crashes)
        }
        common_parts = self._common_to_all(best, crashes)[0]
        if ties <= common_parts or best.faults >= _CERTAIN_AT_FAULTS:
            return best
        return None

    def _explanations(
        self, crashes: dict[EndpointId, _Crash]
    ) -> list[_Explanation]:
        by_part: dict[str, list[tuple[EndpointId, list[_Lost]]]] = {}
        for endpoint, crash in crashes.items():
            lost_with: dict[str, list[_Lost]] = {}
            for lost in crash.lost.values():
                for part in self._suspect_parts(lost, crash):
                    lost_with.setdefault(part, []).append(lost)
            for part, rows in lost_with.items():
                by_part.setdefault(part, []).append((endpoint, rows))
        return [
            self._explanation(part, rows, crashes)
            for part, rows in by_part.items()
            if len(rows) >= _SUSPECT_AT_FAULTS
        ]

    def _explanation(
        self,
        part: str,
        rows: list[tuple[EndpointId, list[_Lost]]],
        crashes: dict[EndpointId, _Crash],
    ) -> _Explanation:
        explanation = _Explanation(
            part,
            [endpoint for endpoint, _ in rows],
            self._answered.answered_at(self._service, part, self._build),
        )
        digests: set[RequestDigest] = set()
        previous_at = float("-inf")
        for endpoint, lost in rows:
            crash = crashes[endpoint]
            digests.update(row.prompt.digest for row in lost)
            is_later = crash.at - previous_at >= _FAULT_WINDOW_S
            if is_later or max(row.sent_at for row in lost) > previous_at:
                explanation.faults += 1
                previous_at = crash.at
        if len(digests) < _SUSPECT_AT_FAULTS:
            # One request that is sent again is counted by its digest.
            explanation.faults = min(explanation.faults, _SUSPECT_AT_FAULTS)
        return explanation

    def _finding(
        self, explanation: _Explanation, crashes: dict[EndpointId, _Crash]
    ) -> Finding:
        parts, teams = self._common_to_all(explanation, crashes)
        team = next(iter(teams)) if len(teams) == 1 else TeamId("")
        pattern = PartPattern(self._service, team, tuple(sorted(parts)))
        return Finding(pattern, tuple(explanation.crashes))

    def _common_to_all(
        self, explanation: _Explanation, crashes: dict[EndpointId, _Crash]
    ) -> tuple[set[str], set[TeamId]]:
        """Returns the parts and teams that came with a part at each crash.

        A team that had the part at some of the crashes only is no cause of the
        others: another team could name its part in prompts that crash engines.
        """
        parts_by_crash: list[set[str]] = []
        teams_by_crash: list[set[TeamId]] = []
        for endpoint in explanation.crashes:
            crash = crashes[endpoint]
            parts: set[str] = set()
            teams: set[TeamId] = set()
            for lost in crash.lost.values():
                suspect = self._suspect_parts(lost, crash)
                if explanation.part in suspect:
                    parts.update(suspect)
                    teams.add(lost.prompt.team)
            parts_by_crash.append(parts)
            teams_by_crash.append(teams)
        return (
            set.intersection(*parts_by_crash),
            set.intersection(*teams_by_crash),
        )

    def _suspect_parts(self, lost: _Lost, crash: _Crash) -> list[str]:
        return [
            part
            for part in lost.prompt.parts
            if not self._is_ruled_out(part, crash)
        ]

    def _is_ruled_out(self, part: str, crash: _Crash) -> bool:
        return self._answered.rules_out(
            self._service, part, self._build, crash.at
        )
