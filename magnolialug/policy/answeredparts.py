"""Parts of prompts that engines have answered, and when."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from magnolialug.ids import EngineBuild, ServiceName, TeamId

__all__ = ["AnsweredParts"]

# An answer within this time before a crash rules a part out as its cause. It
# may become one without a release, so that older answers only decide between
# equal explanations.
_RULES_OUT_S = 2.0
# Bounds memory use: the parts of some seconds of an entry's prompts, 0.6 MB.
_MAX_PARTS = 1024
# An upgrade has two builds at a time; new weights during one make three.
_MAX_BUILDS = 4
_NEVER = float("-inf")
_UNKNOWN_TEAM = TeamId("")
_Key = tuple[ServiceName, str]


class _Row(msgspec.Struct):
    team: TeamId
    builds: dict[EngineBuild, float] = {}


class AnsweredParts:
    """Remembers which parts of prompts the engines of a build have answered.

    A part may crash engines after a release, or with other weights, so that an
    answer of one build says nothing of another. Above the limit, the team with
    the most parts loses its oldest one: a team with many parts must not make
    others' parts forgotten.
    """

    def __init__(self) -> None:
        self._rows: dict[_Key, _Row] = {}
        self._by_team: dict[TeamId, OrderedDict[_Key, None]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def record(
        self,
        service: ServiceName,
        parts: Iterable[str],
        build: EngineBuild,
        at: float,
        team: TeamId = _UNKNOWN_TEAM,
    ) -> None:
        """Records that a prompt with these parts was answered.

        Args:
          team: that asked, "" if it is not known.
        """
        for part in parts:
            builds = self._touch((service, part), team).builds
            builds[build] = max(at, builds.pop(build, _NEVER))
            if len(builds) > _MAX_BUILDS:
                del builds[next(iter(builds))]
        while len(self._rows) > _MAX_PARTS:
            self._drop_one()

    def answered_at(
        self, service: ServiceName, part: str, build: EngineBuild
    ) -> float:
        """Returns when a part was last answered, minus infinity for never."""
        return self.builds(service, part).get(build, _NEVER)

    def builds(
        self, service: ServiceName, part: str
    ) -> dict[EngineBuild, float]:
        """Returns when engines of each build last answered a part."""
        row = self._rows.get((service, part))
        return row.builds if row else {}

    def rules_out(
        self, service: ServiceName, part: str, build: EngineBuild, at: float
    ) -> bool:
        """Whether a part cannot have caused a crash of an engine at a time.

        It was answered by an engine of that build shortly before, or since.
        """
        return at - self.answered_at(service, part, build) <= _RULES_OUT_S

    def _touch(self, key: _Key, team: TeamId) -> _Row:
        """Returns a part's row, as the newest one of a team."""
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = _Row(team)
        elif team and row.team != team:
            self._leave(key, row.team)
            row.team = team
        keys = self._by_team.setdefault(row.team, OrderedDict())
        keys[key] = None
        keys.move_to_end(key)
        return row

    def _drop_one(self) -> None:
        """Forgets the oldest part of the team with the most parts."""
        team = max(self._by_team, key=lambda name: len(self._by_team[name]))
        key = next(iter(self._by_team[team]))
        del self._rows[key]
        self._leave(key, team)

    def _leave(self, key: _Key, team: TeamId) -> None:
        del self._by_team[team][key]
        if not self._by_team[team]:
            del self._by_team[team]
