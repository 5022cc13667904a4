"""A reactor whose clock goes on while the machine is suspended."""

import time

from twisted.internet import main
from twisted.internet.epollreactor import EPollReactor

__all__ = ["BootClockReactor", "boot_seconds", "install"]


def boot_seconds() -> float:
    """Returns seconds since the machine started, suspended ones included.

    The time of day can jump, and the monotonic clock stands still while a
    machine is suspended. A process that wakes would then believe that its
    lease still runs and that its callers still wait; one would notice orders
    of two holders, and work done for callers long gone.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClockReactor(EPollReactor):
    """The epoll reactor on the boot clock."""

    def seconds(self) -> float:
        """Returns the time in seconds that all timers go by."""
        return boot_seconds()


def install() -> None:
    """Makes it the process's reactor; before any other is imported."""
    main.installReactor(BootClockReactor())
