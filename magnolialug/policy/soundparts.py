"""Parts of prompts that engines have answered, and when."""

from collections import OrderedDict
from collections.abc import Iterable

from magnolialug.ids import EngineBuild, ServiceName

__all__ = ["SoundParts"]

# An answer within this time before a crash rules a part out as its cause. It
# may become one without a release, so that older answers only decide between
# equal explanations.
_SOUND_S = 2.0
# Bounds memory use: the parts of some seconds of an entry's prompts, 0.6 MB.
_MAX_PARTS = 1024
# An upgrade has two builds at a time; new weights during one make three.
_MAX_BUILDS = 4
_NEVER = float("-inf")


class SoundParts:
    """Remembers which parts of prompts the engines of a build have answered.

    A part may crash engines after a release, or with other weights, so that an
    answer of one build says nothing of another.
    """

    def __init__(self) -> None:
        self._rows: OrderedDict[
            tuple[ServiceName, str], dict[EngineBuild, float]
        ] = OrderedDict()

    def record(
        self,
        service: ServiceName,
        parts: Iterable[str],
        build: EngineBuild,
        at: float,
    ) -> None:
        """Records that a prompt with these parts was answered."""
        for part in parts:
            builds = self._rows.setdefault((service, part), {})
            builds[build] = max(at, builds.pop(build, _NEVER))
            if len(builds) > _MAX_BUILDS:
                del builds[next(iter(builds))]
            self._rows.move_to_end((service, part))
        while len(self._rows) > _MAX_PARTS:
            self._rows.popitem(last=False)

    def answered_at(
        self, service: ServiceName, part: str, build: EngineBuild
    ) -> float:
        """Returns when a part was last answered, minus infinity for never."""
        return self.builds(service, part).get(build, _NEVER)

    def builds(
        self, service: ServiceName, part: str
    ) -> dict[EngineBuild, float]:
        """Returns when engines of each build last answered a part."""
        return self._rows.get((service, part), {})

    def rules_out(
        self, service: ServiceName, part: str, build: EngineBuild, at: float
    ) -> bool:
        """Whether a part cannot have caused a crash of an engine at a time.

        It was answered by an engine of that build shortly before, or since.
        """
        return at - self.answered_at(service, part, build) <= _SOUND_S
