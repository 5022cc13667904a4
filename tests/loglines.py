"""Collects the log lines that a test causes."""

from loguru import logger

from magnolialug import events
from magnolialug.policy.loglimiter import LogLimiter

__all__ = ["collect_lines"]

# More lines per second than any test causes.
_UNLIMITED_PER_S = 1e6


def collect_lines(case, limiter: LogLimiter | None = None) -> list[str]:
    """Returns a list that collects the lines logged until the test ends.

    The limiter of a process is shared by all its tests and refills by the time
    of day, so it would drop lines or keep them by how fast the tests run.

    Args:
      case: the testtools.TestCase that runs.
      limiter: limits the lines, None for all lines.
    """
    lines: list[str] = []
    case.patch(events, "_bounds", limiter or _unlimited())
    sink = logger.add(lines.append, format="{message}")
    case.addCleanup(logger.remove, sink)
    return lines


def _unlimited() -> LogLimiter:
    return LogLimiter(_UNLIMITED_PER_S, _UNLIMITED_PER_S)
