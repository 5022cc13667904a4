"""Flags as data: every flag is an environment variable too."""

import os
import sys
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from absl import flags

from magnolialug import __version__

__all__ = [
    "COMMON",
    "EXIT_BAD_INPUT",
    "EXIT_FAILED",
    "STDOUT",
    "Flag",
    "Group",
    "parse",
]

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
STDOUT = 1
_ENV_PREFIX = "MAGNOLIALUG_"

_EXITS = """Exit codes:
  0  done, or stopped with nothing left behind
  1  failed, or stopped with something left behind
  2  bad flags or bad input
"""


class Flag(msgspec.Struct, frozen=True):
    """One flag.

    Attributes:
      form: "str", "int", "float", "bool" or a tuple of the words allowed.
    """

    name: str
    form: str | tuple[str, ...]
    default: Any
    help: str


class Group(msgspec.Struct, frozen=True):
    """Flags that `--help` lists together."""

    title: str
    flags: tuple[Flag, ...]


COMMON = Group(
    "Logging",
    (
        Flag("log_format", ("text", "json"), "text", "form of log lines"),
        Flag(
            "log_level",
            ("DEBUG", "INFO", "WARNING", "ERROR"),
            "INFO",
            "least level that is logged",
        ),
    ),
)

_DEFINE = {
    "str": flags.DEFINE_string,
    "int": flags.DEFINE_integer,
    "float": flags.DEFINE_float,
    "bool": flags.DEFINE_bool,
}


def parse(
    program: str,
    summary: str,
    groups: Sequence[Group],
    argv: Sequence[str] | None = None,
    env: Mapping[str, str] | None = None,
) -> tuple[flags.FlagValues, list[str]]:
    """Reads flags; one not given is taken from its environment variable.

    Returns:
      the flags and the remaining arguments.

    Raises:
      SystemExit: after --help or --version, or with EXIT_BAD_INPUT.
    """
    argv = list(sys.argv if argv is None else argv)
    env = os.environ if env is None else env
    if "--help" in argv or "-h" in argv:
        print(_help(program, summary, groups))
        raise SystemExit(0)
    if "--version" in argv:
        print(f"{program} {__version__}")
        raise SystemExit(0)
    values = flags.FlagValues()
    for group in groups:
        for flag in group.flags:
            _define(flag, values)
    try:
        rest = values([program, *argv[1:]])[1:]
        _from_env(values, env)
    except flags.Error as exc:
        print(f"{program}: {exc}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT) from exc
    return values, rest


def _define(flag: Flag, values: flags.FlagValues) -> None:
    if isinstance(flag.form, tuple):
        flags.DEFINE_enum(
            flag.name, flag.default, flag.form, flag.help, flag_values=values
        )
        return
    _DEFINE[flag.form](flag.name, flag.default, flag.help, flag_values=values)


def _from_env(values: flags.FlagValues, env: Mapping[str, str]) -> None:
    for name in values:
        text = env.get(_env_name(name))
        if text is not None and not values[name].present:
            values[name].parse(text)


def _env_name(flag: str) -> str:
    return _ENV_PREFIX + flag.upper()


def _help(program: str, summary: str, groups: Sequence[Group]) -> str:
    lines = [f"{program}: {summary}", ""]
    for group in groups:
        lines.append(f"{group.title}:")
        for flag in group.flags:
            form = flag.form
            words = "|".join(form) if isinstance(form, tuple) else form
            lines.append(f"  --{flag.name}={words}")
            lines.append(f"      {flag.help} (default {flag.default!r};")
            lines.append(f"      variable {_env_name(flag.name)})")
        lines.append("")
    lines.append("  --help, --version\n")
    return "\n".join(lines) + "\n" + _EXITS
