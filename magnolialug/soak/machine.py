"""One machine: a real gateway process and the signals it gets."""

import pathlib
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence

from magnolialug.soak.block import Block

__all__ = ["CONTACT_S", "GRACE_S", "Machine", "gateway_program"]

GRACE_S = 8.0
# The rules hold for a machine this long after its last fault.
CONTACT_S = 3.0
_RESTART_S = 0.3
# In the last sixth of its grace a process that ends may close connections.
_LAST_S = GRACE_S * 5 / 6
_START = pathlib.Path(__file__).parents[2] / "deploy" / "start-gateway"

_SETTINGS = """\
nodeName = "vm-{number}"
role = "gateway"
machineClass = "front"
serves = ["front"]
ipAddress = "{host}"
zone = "{zone}"
region = "r"
internalPortRange = [{first_port}, {last_port}]
bootstrap = false
heartbeatMs = 1200
[zones]
a = "r"
b = "r"
[bindAddresses]
front = "{host}:{callers_port}"
ready = "{host}:{ready_port}"
[bounds]
drainMs = 2000
graceS = {grace_s}
configApplyMs = 2000
retryBudgetRatio = {retry_ratio}
retryBudgetExtra = 54
budgetWindowS = 10
leaseMs = 3000
thawSlackMs = 300
versionMs = 12000
[limits]
cpuShare = 1.0
cpuCores = 1
[platform]
address = "{store_host}:{store_port}"
writesPerS = 400
readsPerS = 2000
ttlMinMs = 1000
"""


class Machine:
    """Starts a gateway again whenever it has ended, as a platform does.

    Attributes:
      lifetime: counts the starts.
      paused: whether the process is stopped by a signal.
      stopped_at: when it was told to end, None if it was not.
      disturbed_until: when its last fault ends.
      halted_at: when it last started, was killed, suspended or resumed.
      touched_at: since when it has been without a fault.

    Args:
      program: the command that runs the gateway.
      failed: is told of what a process must not do.
    """

    def __init__(
        self,
        number: int,
        block: Block,
        reactor,
        program: Sequence[str],
        folder: pathlib.Path,
        failed: Callable[[str, str], None],
    ):
        self.number = number
        self.name = f"vm-{number}"
        self.lifetime = 0
        self.paused = False
        self.stopped_at: float | None = None
        self.disturbed_until = 0.0
        self.halted_at = 0.0
        self._block = block
        self._reactor = reactor
        self._program = program
        self._failed = failed
        self._settings = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        self._process: subprocess.Popen | None = None
        self._killed = False
        self._started_at = 0.0
        self._hung_up_at: float | None = None
        self._closing = False
        self._kill_timer = None

    def start(self) -> None:
        """Starts the process."""
        if self._closing:
            return
        self.write_settings()
        self.lifetime += 1
        self.paused = self._killed = False
        self.stopped_at = None
        self._started_at = self.halted_at = self._reactor.seconds()
        self._hung_up_at = None
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [*self._program, "--log_format=json"],
                env={"MAGNOLIALUG_SETTINGS": str(self._settings)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def write_settings(self, retry_ratio: float = 0.2) -> None:
        """Writes the settings file, whole at any moment for its readers."""
        number, block = self.number, self._block
        first_port, last_port = block.internal_ports
        text = _SETTINGS.format(
            number=number,
            host=block.machine(number),
            zone="ab"[number % 2],
            first_port=first_port,
            last_port=last_port,
            callers_port=block.callers(number)[1],
            ready_port=block.ready(number)[1],
            grace_s=int(GRACE_S),
            retry_ratio=retry_ratio,
            store_host=block.store(number)[0],
            store_port=block.store(number)[1],
        )
        written = self._settings.with_suffix(".new")
        written.write_text(text)
        written.replace(self._settings)

    @property
    def stopping(self) -> bool:
        """Whether it was told to end."""
        return self.stopped_at is not None

    def keeps_connections(self, at: float) -> bool:
        """Whether it must keep connections that callers may rely on."""
        late = self.stopped_at is not None and at - self.stopped_at > _LAST_S
        return self.in_touch(at) and not late

    @property
    def running(self) -> bool:
        """Whether there is a process."""
        return self._process is not None

    @property
    def pid(self) -> int:
        """The process's id, 0 if there is none."""
        return self._process.pid if self._process else 0

    def disturb(self, for_s: float = 0.0) -> None:
        """Learns that something is done to it, from now on."""
        until = self._reactor.seconds() + for_s
        self.disturbed_until = max(self.disturbed_until, until)

    def in_touch(self, since: float) -> bool:
        """Whether it has had no fault from then on, and shortly before."""
        return self.disturbed_until + CONTACT_S < since

    def pause(self) -> None:
        """Suspends the process."""
        if self.running and not self.paused:
            self.paused = True
            self.halted_at = self._reactor.seconds()
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a suspended process go on."""
        if self.running and self.paused:
            self.paused = False
            self.halted_at = self._reactor.seconds()
            self._process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process."""
        if self.running:
            self._killed = True
            self.halted_at = self._reactor.seconds()
            self._process.kill()

    def stop(self) -> None:
        """Tells the process to end; kills it when its grace is over."""
        if not self.running or self.stopping:
            return
        self.stopped_at = self._reactor.seconds()
        self._process.send_signal(signal.SIGTERM)
        late = self._reactor.callLater(GRACE_S + 0.5, self._overstayed)
        self._kill_timer = late

    def hang_up(self) -> None:
        """Tells the process that its settings have changed."""
        if self.running:
            self._hung_up_at = self._reactor.seconds()
            self._process.send_signal(signal.SIGHUP)

    def look(self) -> None:
        """Looks whether the process has ended, and starts it again."""
        if self._process is None or self._process.poll() is None:
            return
        code = self._process.returncode
        self._process = None
        if self._kill_timer is not None and self._kill_timer.active():
            self._kill_timer.cancel()
        if not self._killed and not self.stopping:
            self._failed("ENDED", self._describe_end(code))
        if not self._killed:
            self.disturb(_RESTART_S)
        self._reactor.callLater(_RESTART_S, self.start)

    def _describe_end(self, code: int) -> str:
        told = f"{self.name} ended by itself, code {code}"
        if self._hung_up_at is None:
            return told
        age_s = self._hung_up_at - self._started_at
        return f"{told}; SIGHUP came {age_s:.3f} s after its start"

    def close(self) -> None:
        """Ends the process for good."""
        self._closing = True
        if self._kill_timer is not None and self._kill_timer.active():
            self._kill_timer.cancel()
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def _overstayed(self) -> None:
        if self.running and not self.paused:
            self._failed("STOP", f"{self.name} outlived its grace")
        self.kill()


def gateway_program() -> list[str]:
    """Returns the command of the gateway, as operators start it."""
    return [str(_START), sys.executable, "-m", "magnolialug.cmd.gateway"]
