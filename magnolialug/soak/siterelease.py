"""Releases during which one machine of the site is out of step."""

import signal
from collections.abc import Callable, Sequence
from random import Random

from twisted.internet.interfaces import IReactorTime

from magnolialug.soak.endpointprocess import EndpointProcess, ProcessState
from magnolialug.soak.machine import Machine
from magnolialug.soak.proxy import Path, Proxy

__all__ = ["SiteRelease"]

# How long one version must have served alone, and a machine without a fault,
# until the machine takes it for the only one: twice the time-out of a stream
# that may be taken up, and some time for what is listed late.
_CALM_S = 7.0
_NEW_ENDPOINTS = 3
# Streams have begun on the new endpoints by then, and have not ended.
_CUT_TO_KILL_S = 0.4
_OUT_OF_STEP_S = (0.7, 2.0)
_DRAIN_S = 2.2


class SiteRelease:
    """Replaces all engines by a new version while a machine hears nothing.

    The machine's way to the key-value service is held, or its process is
    stopped, or both. The other machines are killed while streams run on the new
    endpoints, so that callers take these up at that machine.

    Args:
      machines: all machines.
      stores: each machine's way to the key-value service.
      start_endpoint: starts an engine of a version; it is not listed, but
        handed on when it listens.
      engines: returns the engines that are listed.
      list_endpoint: writes the registry entry of an engine with a state.
      unlist: removes it.
      later: calls a function after some seconds.
    """

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        machines: Sequence[Machine],
        stores: Sequence[Proxy],
        start_endpoint: Callable[
            [str, Callable[[EndpointProcess], None]], None
        ],
        engines: Callable[[], list[EndpointProcess]],
        list_endpoint: Callable[[EndpointProcess, str], None],
        unlist: Callable[[EndpointProcess], None],
        later: Callable[..., None],
    ):
        self._clock = clock
        self._random = random
        self._machines = machines
        self._stores = stores
        self._start_endpoint = start_endpoint
        self._engines = engines
        self._list_endpoint = list_endpoint
        self._unlist = unlist
        self._later = later
        self._number = 1
        self._calm_since = clock.seconds()
        self._is_running = False
        self._new: list[EndpointProcess] = []

    @property
    def software(self) -> str:
        """The version that endpoints have which start now."""
        return f"v{self._number}"

    def begin(self) -> bool:
        """Begins a release if all has been calm for long enough."""
        now = self._clock.seconds()
        if self._is_running or now - self._calm_since < _CALM_S:
            return False
        calm = [m for m in self._machines if now - m.halted_at >= _CALM_S]
        if not calm:
            return False
        self._is_running = True
        self._number += 1
        machine = self._random.choice(calm)
        self._new = []

        def add(process: EndpointProcess) -> None:
            self._new.append(process)
            if len(self._new) == _NEW_ENDPOINTS:
                self._replace(machine)

        for _ in range(_NEW_ENDPOINTS):
            self._start_endpoint(self.software, add)
        return True

    def _replace(self, machine: Machine) -> None:
        olds = self._engines()
        is_stopped = self._random.random() < 0.5
        is_cut = not is_stopped or self._random.random() < 0.5
        if is_cut:
            self._stores[machine.number].opens(Path.HELD)
        if is_stopped:
            machine.pause()
        for process in self._new:
            self._list_endpoint(process, "ready")
        for process in olds:
            process.state = ProcessState.LEAVING
            self._list_endpoint(process, "draining")
            self._later(_DRAIN_S, self._end, process)
        self._later(_CUT_TO_KILL_S, self._kill_others, machine)
        for_s = self._random.uniform(*_OUT_OF_STEP_S)
        self._later(for_s, self._heal, machine)

    def _kill_others(self, machine: Machine) -> None:
        for other in self._machines:
            if other is not machine:
                other.kill()

    def _heal(self, machine: Machine) -> None:
        machine.resume()
        self._stores[machine.number].opens(Path.OPEN)

    def _end(self, process: EndpointProcess) -> None:
        process.send_signal(signal.SIGTERM)
        self._unlist(process)
        self._is_running = False
        self._calm_since = self._clock.seconds()
