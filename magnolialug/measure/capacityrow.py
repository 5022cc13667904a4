"""The target's size, and one figure of the capacity page."""

import msgspec

__all__ = [
    "CHANGES_A_DAY",
    "DAY_S",
    "ENDPOINTS",
    "ENTRIES",
    "MB",
    "REQUESTS",
    "TEAMS",
    "TOKENS",
    "Row",
]

ENTRIES = 360
ENDPOINTS = 2000
REQUESTS = 4000
TOKENS = 850_000
TEAMS = 25_000
CHANGES_A_DAY = 2000
DAY_S = 86_400.0
MB = 1e6


class Row(msgspec.Struct, frozen=True):
    """One figure of one role.

    Attributes:
      bound: what the target allows, "" where it names none.
      mechanism: what carries it.
    """

    role: str
    figure: str
    value: float
    unit: str
    bound: str
    mechanism: str
