"""Asks machines which configuration they have in force."""

from typing import TYPE_CHECKING

from magnolialug.carrier.client import Client, Reply
from magnolialug.soak.block import Block
from magnolialug.soak.historychecker import Form, Sent
from magnolialug.soak.machine import Machine
from magnolialug.standin.caller import request

if TYPE_CHECKING:
    from magnolialug.soak.run import Soak

__all__ = ["Probes"]

_EVERY_S = 0.7
_PATIENCE_S = 1.0
_APPLY_S = 2.0
_SLACK_S = 0.3
# A request sent this long after a version was seen must be handled by it.
_ROLLBACK_S = 0.25


class Probes:
    """Each version has a route of its own, which only that one serves."""

    def __init__(self, soak: "Soak", asker: Client, block: Block):
        self._soak = soak
        self._asker = asker
        self._block = block
        # The newest version that a start of a process has shown, and when.
        self._shown: dict[tuple[str, int], tuple[int, float]] = {}

    def start(self) -> None:
        """Begins to ask."""
        newest = len(self._soak.world.versions)
        older = self._soak.random.randint(1, newest)
        for machine in self._soak.machines:
            for version in {newest, older}:
                self._ask(machine, version)
        self._soak.later(_EVERY_S, self.start)

    def _ask(self, machine: Machine, version: int) -> None:
        name = self._soak.new_id()
        target = f"/at{version}/{name}"
        row = Sent(
            name,
            Form.PROBE,
            "GET",
            target,
            b"",
            "team-a",
            machine.name,
            self._soak.now,
            _PATIENCE_S,
            removed=version < len(self._soak.world.versions),
        )
        self._soak.history.add(row)
        data = request(target, name, deadline_ms=int(_PATIENCE_S * 1000))
        address = self._block.callers(machine.number)
        fut = self._asker.ask(address, data, _PATIENCE_S)
        fut.addCallback(self._heard, machine, machine.lifetime, version, row)

    def _heard(
        self,
        reply,
        machine: Machine,
        lifetime: int,
        version: int,
        row: Sent,
    ) -> None:
        row.left_at = self._soak.now
        if not isinstance(reply, Reply) or lifetime != machine.lifetime:
            return
        row.status = reply.status
        if reply.status not in (200, 404):
            return
        served = reply.status == 200
        versions = self._soak.world.versions
        self._check_late(machine, version, served, row, versions)
        self._check_back(machine, version, served, row)
        if served:
            self._show(machine, version)

    def _check_late(
        self,
        machine: Machine,
        version: int,
        served: bool,
        row: Sent,
        versions: list[float],
    ) -> None:
        """Checks that what should be in force is."""
        newer = versions[version] if version < len(versions) else None
        since = versions[version - 1] if not served else newer
        if since is None or (not served and newer is not None):
            return
        late = row.at - since - _APPLY_S
        if late > _SLACK_S and self._soak.touched(machine.name, since):
            state = "served" if served else "not served"
            detail = f"{machine.name}: {row.target} {state}, {late:.2f} s late"
            self._soak.history.broken("CONFIG", detail, row.request_id)

    def _check_back(
        self, machine: Machine, version: int, served: bool, row: Sent
    ) -> None:
        """Checks that a version that was in force does not go back."""
        shown, at = self._shown.get((machine.name, machine.lifetime), (0, 0.0))
        older = version < shown if served else version == shown
        newest = version == len(self._soak.world.versions)
        if not served and not newest:
            return
        if older and row.at - at > _ROLLBACK_S:
            detail = f"{machine.name} went back from {shown}: {row.target}"
            self._soak.history.broken("CONFIG", detail, row.request_id)

    def _show(self, machine: Machine, version: int) -> None:
        key = (machine.name, machine.lifetime)
        shown, _ = self._shown.get(key, (0, 0.0))
        if version > shown:
            self._shown[key] = (version, self._soak.now)
