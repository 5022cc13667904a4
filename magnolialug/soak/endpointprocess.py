"""The address of an endpoint, and the process that serves there."""

import enum
import signal
import sys
from collections.abc import Callable

import msgspec
from twisted.internet.protocol import ProcessProtocol

from magnolialug.soak.endpointhost import READY, EndpointSpec

__all__ = ["EndpointProcess", "ProcessState"]

_MODULE = "magnolialug.soak.endpointhost"


class ProcessState(enum.Enum):
    """What an endpoint's process does."""

    STARTING = "starting"
    UP = "up"
    PAUSED = "paused"
    LEAVING = "leaving"
    ENDED = "ended"


class EndpointProcess(ProcessProtocol):
    """Starts one endpoint as a process, and sends it signals.

    Attributes:
      state: what the process does.

    Args:
      on_ready: called when it listens.
      on_ended: called when the process has ended.
    """

    def __init__(
        self,
        spec: EndpointSpec,
        on_ready: Callable[["EndpointProcess"], None],
        on_ended: Callable[["EndpointProcess"], None],
    ):
        self.spec = spec
        self.state = ProcessState.STARTING
        self._on_ready = on_ready
        self._on_ended = on_ended

    def start(self, reactor) -> None:
        """Starts the process."""
        args = [
            sys.executable,
            "-m",
            _MODULE,
            msgspec.json.encode(self.spec).decode(),
        ]
        reactor.spawnProcess(
            self, sys.executable, args, env=None, childFDs={1: "r", 2: 2}
        )

    def outReceived(self, data: bytes) -> None:
        """Learns that the endpoint listens."""
        if READY in data and self.state is ProcessState.STARTING:
            self.state = ProcessState.UP
            self._on_ready(self)

    def processExited(self, reason) -> None:
        """Learns that the process has ended."""
        self.state = ProcessState.ENDED
        self._on_ended(self)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.state is not ProcessState.ENDED:
            self.transport.signalProcess(number)

    def pause(self) -> None:
        """Suspends the process."""
        if self.state is ProcessState.UP:
            self.state = ProcessState.PAUSED
            self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a suspended process go on."""
        if self.state is ProcessState.PAUSED:
            self.state = ProcessState.UP
            self.send_signal(signal.SIGCONT)
