"""Entries of the key-value service that no reader can use."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["unreadable_entries"]

_DEEP = b'{"spec":' * 1500
_LONG_NUMBER = b"9" * 5000
# Key and value; none is a key that a process of the system writes.
_ENTRIES = (
    ("servers/i-unreadable", _DEEP),
    ("servers/i-unreadable", b"[" * 100_000),
    ("servers/i-unreadable", b'{"slots":' + _LONG_NUMBER + b"}"),
    ("servers/i-\u0151", b"{}"),
    ("op/version/unreadable", _DEEP),
    ("op/evacuate/unreadable", _DEEP),
    ("magnolialug/entries/unreadable", _DEEP),
    (
        "magnolialug/entries/unreadable",
        b'{"host":"nowhere","port":70000,"zone":"z"}',
    ),
    ("magnolialug/bars/unreadable", _DEEP),
)
# Some stay to the end, so that starting processes meet them.
_STAY_SHARE = 0.3
_STAY_S = (0.5, 4.0)


def unreadable_entries(soak: "Soak") -> None:
    """Another writer leaves bytes that cannot be read."""
    key, value = soak.random.choice(_ENTRIES)
    soak.world.write(key, value)
    stay_s = soak.random.uniform(*_STAY_S)
    if soak.random.random() >= _STAY_SHARE:
        soak.later(stay_s, soak.world.remove, key)
