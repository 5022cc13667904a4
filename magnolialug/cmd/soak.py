"""magnolialug-soak: runs real gateways on loopback among faults."""

import pathlib
import shlex
import sys
import tempfile
from collections.abc import Container

import msgspec

from magnolialug.cmd.flagset import (
    COMMON,
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    Flag,
    Group,
    parse,
)
from magnolialug.events import setup_logging
from magnolialug.result import Code
from magnolialug.soak.faults import FAULTS
from magnolialug.soak.machine import gateway_program

__all__ = ["run"]

_GROUPS = (
    Group(
        "Soak",
        (
            Flag("seed", "int", 1, "decides the faults and the callers"),
            Flag("minutes", "float", 0.25, "how long new faults begin"),
            Flag("machines", "int", 3, "gateways"),
            Flag("clients", "int", 12, "callers, one connection each"),
            Flag(
                "endpoint_processes",
                "int",
                0,
                "endpoints as processes of their own, which signals end; 0 for"
                " stand-ins within the soak",
            ),
            Flag("only", "str", "", "kinds of fault, separated by commas"),
            Flag("program", "str", "", "command to run in a gateway's place"),
            Flag("out", "str", "", "folder for logs and settings"),
        ),
    ),
    COMMON,
)
_MOST_MACHINES = 100


def run() -> None:
    """Runs the program; see --help."""
    flags, _ = parse(
        "magnolialug-soak", "checks the promises among faults", _GROUPS
    )
    setup_logging(flags.log_format, flags.log_level)
    folder = pathlib.Path(flags.out or tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    sys.exit(_soak(flags, folder))


def _kinds(text: str, known: Container[str]) -> tuple[str, ...]:
    """Returns the kinds of fault that a flag names.

    Args:
      known: the kinds that there are.

    Raises:
      SystemExit: with EXIT_BAD_INPUT for a kind that there is not.
    """
    kinds = tuple(filter(None, text.split(",")))
    for kind in kinds:
        if kind not in known:
            code = Code.BAD_CONFIG_VALUE
            print(
                f"{code.value} {code.name}: --only: no such kind"
                f" (value: {kind})",
                file=sys.stderr,
            )
            raise SystemExit(EXIT_BAD_INPUT)
    return kinds


def _soak(flags, folder: pathlib.Path) -> int:
    from twisted.internet import reactor

    from magnolialug.soak.run import Plan, Soak
    from magnolialug.soak.site import SIGNALS, SiteSoak

    reports = []

    def done(report) -> None:
        reports.append(report)
        reactor.callLater(0, reactor.stop)

    program = shlex.split(flags.program) or gateway_program()
    plan = Plan(
        seed=flags.seed,
        seconds=flags.minutes * 60,
        machines=min(flags.machines, _MOST_MACHINES),
        clients=flags.clients,
        program=tuple(program),
        folder=folder,
        only=_kinds(
            flags.only, SIGNALS if flags.endpoint_processes else FAULTS
        ),
    )
    if flags.endpoint_processes:
        soak = SiteSoak(reactor, plan, flags.endpoint_processes, done)
    else:
        soak = Soak(reactor, plan, done)
    reactor.callWhenRunning(soak.start)
    try:
        reactor.run()
    finally:
        soak.close()
    for report in reports:
        print(msgspec.json.encode(report).decode())
    clean = bool(reports) and not reports[0].violations
    return 0 if clean else EXIT_FAILED


if __name__ == "__main__":
    run()
