"""The difference between two configurations, field by field."""

import msgspec

__all__ = ["Difference", "differences"]


class Difference(msgspec.Struct, frozen=True):
    """One field; old or new is None where it is absent."""

    path: str
    old: object
    new: object

    def __str__(self) -> str:
        if self.old is None:
            return f"+ {self.path} = {self.new!r}"
        if self.new is None:
            return f"- {self.path} (was {self.old!r})"
        return f"~ {self.path} = {self.new!r} (was {self.old!r})"


def differences(old_text: str, new_text: str) -> list[Difference]:
    """Returns what changes from one canonical JSON text to another."""
    old = _flat(old_text)
    new = _flat(new_text)
    return [
        Difference(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _flat(text: str) -> dict[str, object]:
    fields: dict[str, object] = {}
    if text:
        _walk(msgspec.json.decode(text), "", fields)
    return fields


def _walk(value: object, path: str, fields: dict[str, object]) -> None:
    if not isinstance(value, dict):
        fields[path] = value
        return
    for name, item in value.items():
        _walk(item, f"{path}.{name}" if path else name, fields)
