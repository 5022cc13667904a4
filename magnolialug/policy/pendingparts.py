"""Engines that have prompts with some parts, and have not crashed by them."""

from collections import OrderedDict

from magnolialug.ids import EndpointId, ServiceName

__all__ = ["PendingParts"]

# What an entry reports of its prompts is used for this long. Most prompts have
# been answered by then.
_VALID_S = 5.0
# Bounds memory use.
_MAX_PARTS = 4096
_MAX_ENGINES = 64

_Key = tuple[ServiceName, str]


class PendingParts:
    """Remembers since when prompts with a part have been at which engines."""

    def __init__(self) -> None:
        self._rows: OrderedDict[_Key, dict[EndpointId, float]] = OrderedDict()
        self._recorded_at: dict[_Key, float] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def record(
        self,
        service: ServiceName,
        part: str,
        engine: EndpointId,
        sent_at: float,
        now: float,
    ) -> None:
        """Records that a prompt with a part is at an engine since a time."""
        key = service, part
        engines = self._rows.setdefault(key, {})
        if engine in engines or len(engines) < _MAX_ENGINES:
            engines[engine] = min(sent_at, engines.get(engine, sent_at))
        self._rows.move_to_end(key)
        self._recorded_at[key] = now
        while len(self._rows) > _MAX_PARTS:
            self._drop_oldest()

    def engines(
        self, service: ServiceName, part: str, before: float
    ) -> set[EndpointId]:
        """Returns the engines that have had a part since before a time."""
        rows = self._rows.get((service, part), {})
        return {engine for engine, at in rows.items() if at < before}

    def drop_expired(self, now: float) -> None:
        """Forgets what was reported too long ago."""
        while self._rows:
            oldest = next(iter(self._rows))
            if now - self._recorded_at[oldest] <= _VALID_S:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        key, _ = self._rows.popitem(last=False)
        del self._recorded_at[key]
