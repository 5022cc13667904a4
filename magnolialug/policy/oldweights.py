"""Tracks which weight versions of a model no engine uses any more."""

from collections.abc import Iterable

import msgspec

from magnolialug.ids import EndpointId

__all__ = ["EngineWeights", "OldWeights"]

# An engine that is no longer listed counts for this much longer: its registry
# entry can expire while it continues to serve, and it is listed again with the
# weights that it had.
_UNLISTED_GRACE_S = 10.0
# A fetch may last for 1.6 s after its store's last reply. Parts of a version
# are kept for longer than that after the last engine has stopped using it.
_FETCH_GRACE_S = 2.2


class EngineWeights(msgspec.Struct, frozen=True):
    """The version of a model that an engine has, 0 if that is not known."""

    endpoint: EndpointId
    model: str
    version: int


class _Row(msgspec.Struct):
    version: int
    seen_at: float


class OldWeights:
    """Determines which weights are permanently out of use.

    Cached parts of unused versions fill up stores, which evict nothing by
    themselves: after two new versions, half of the parts to be saved found no
    room, and their prompts were prefilled again. But a part must not be freed
    while an engine may still fetch it, and only an engine with the same weights
    fetches it.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[EndpointId, str], _Row] = {}
        self._oldest: dict[str, tuple[int, float]] = {}

    def update(self, engines: Iterable[EngineWeights], now: float) -> None:
        """Records the versions that all listed engines have now."""
        for engine in engines:
            key = (engine.endpoint, engine.model)
            self._rows[key] = _Row(engine.version, now)
        for key, row in list(self._rows.items()):
            if now - row.seen_at > _UNLISTED_GRACE_S:
                del self._rows[key]
        for model, version in self._found().items():
            if version != self._oldest.get(model, (None, 0.0))[0]:
                self._oldest[model] = (version, now)

    def unused_below(self, model: str, now: float) -> int:
        """Returns the version below which no version is in use or fetched."""
        version, since = self._oldest.get(model, (0, now))
        return version if now - since >= _FETCH_GRACE_S else 0

    def _found(self) -> dict[str, int]:
        oldest: dict[str, int] = {}
        for (_, model), row in self._rows.items():
            oldest[model] = min(row.version, oldest.get(model, row.version))
        return oldest
