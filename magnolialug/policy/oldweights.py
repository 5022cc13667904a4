"""Which versions of a model no engine has any more."""

from collections.abc import Iterable

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["EngineWeights", "OldWeights"]

# An engine that is no longer listed counts for this much longer: its entry can
# lapse while it serves on, and it comes back with the weights that it had.
_REMEMBERED_S = 10.0
# A fetch may last for 1.6 s after its store's last word. Parts of a version
# are left alone for longer than that after the last engine has given it up.
_SETTLED_S = 2.2


class EngineWeights(msgspec.Struct, frozen=True):
    """The version of a model that an engine has, 0 if that is not known."""

    endpoint: EndpointId
    model: str
    version: int


class _Row(msgspec.Struct):
    version: int
    seen_at: float


class OldWeights:
    """Tells which weights are out of use for good.

    Parts made under them fill stores that drop nothing by themselves: after
    two new versions half of what was to be kept found no room, and was read
    again. But a part may not be freed while an engine might still fetch it,
    and only an engine with the same weights does.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[EndpointId, str], _Row] = {}
        self._oldest: dict[str, tuple[int, float]] = {}

    def seen(self, engines: Iterable[EngineWeights], now: float) -> None:
        """Takes what all listed engines have at the moment."""
        for engine in engines:
            key = (engine.endpoint, engine.model)
            self._rows[key] = _Row(engine.version, now)
        for key, row in list(self._rows.items()):
            if now - row.seen_at > _REMEMBERED_S:
                del self._rows[key]
        for model, version in self._found().items():
            if version != self._oldest.get(model, (None, 0.0))[0]:
                self._oldest[model] = (version, now)

    def unused_below(self, model: str, now: float) -> int:
        """Returns the version below which no engine has or fetches any."""
        version, since = self._oldest.get(model, (0, now))
        return version if now - since >= _SETTLED_S else 0

    def _found(self) -> dict[str, int]:
        oldest: dict[str, int] = {}
        for (_, model), row in self._rows.items():
            oldest[model] = min(row.version, oldest.get(model, row.version))
        return oldest
