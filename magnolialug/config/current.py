"""The configuration in force in one process."""

import zlib
from collections.abc import Callable

import msgspec

from magnolialug.config.deployment import Deployment, from_text, text_digest
from magnolialug.events import Event, emit, explain
from magnolialug.result import Code, Failure, failed
from magnolialug.wire.messages import ConfigDoc

__all__ = ["Current", "make_doc"]


def make_doc(version: int, text: str) -> ConfigDoc:
    """Returns a configuration as processes pass it on."""
    return ConfigDoc(version, text_digest(text), text)


class Current:
    """Applies whole configurations of higher versions only.

    Notices come late, twice and out of order, a paused process wakes with an
    old one in hand, and a KV restored from a backup offers an old head. One
    would notice a limit or key that had been changed to be back. The version
    is the only judge here: what is not higher is not applied.
    """

    def __init__(self) -> None:
        self.version = 0
        self.beat = 0.0
        self._packed = b""
        self.deployment: Deployment | None = None
        self._listeners: list[Callable[[Deployment], None]] = []

    def heard(self, beat: float) -> None:
        """Takes a watchers' beat that a peer passed on."""
        self.beat = max(self.beat, beat)

    @property
    def doc(self) -> ConfigDoc | None:
        """The configuration as it is passed on, None before the first."""
        if not self.version:
            return None
        return make_doc(self.version, zlib.decompress(self._packed).decode())

    def on_change(self, listener: Callable[[Deployment], None]) -> None:
        """Calls the listener with each deployment that comes into force."""
        self._listeners.append(listener)

    def offer(self, doc: ConfigDoc) -> Failure | None:
        """Applies a configuration if it is whole, valid and newer."""
        if doc.version <= self.version:
            return None
        deployment = self._read(doc)
        if isinstance(deployment, Failure):
            emit(
                Event.CONFIG_REFUSED,
                version=doc.version,
                kept=self.version,
                **explain(deployment),
            )
            return deployment
        self.version = doc.version
        self._packed = zlib.compress(doc.text.encode())
        self.deployment = deployment
        emit(Event.CONFIG_IN_FORCE, version=doc.version)
        for listener in self._listeners:
            listener(deployment)
        return None

    def _read(self, doc: ConfigDoc) -> Deployment | Failure:
        if text_digest(doc.text) != doc.digest:
            return failed(Code.BAD_CONFIG_SYNTAX, "digest differs", "(doc)")
        try:
            return from_text(doc.text)
        except msgspec.DecodeError as exc:
            return failed(Code.BAD_CONFIG_SYNTAX, str(exc), "(doc)")
