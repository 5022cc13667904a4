"""Writes docs/ERRORS.md, EVENTS.md and CONFIG.md from the code's tables."""

import pathlib
import sys

import msgspec

from magnolialug.config.gatewaylimits import GATEWAY_LIMITS
from magnolialug.config.option import REQUIRED, Option
from magnolialug.config.schema import SECTIONS, Section
from magnolialug.events import EVENTS
from magnolialug.result import CODES

__all__ = ["config_page", "errors_page", "events_page"]

_ERRORS = """# Errors

Every error that a caller or operator sees has a number that never changes
its meaning. `executed` tells whether the endpoint ran the request; a caller
may repeat a request with `no` at once, and one with `unknown` only under the
same `Idempotency-Key`. This page is written by `make docs`.

| code | name | HTTP status | executed | meaning |
| --- | --- | --- | --- | --- |
"""

_EVENTS = """# Events

Every log line is one numbered event with fields; no field ever holds prompt
text, answer text or a key. This page is written by `make docs`.

| event | name | meaning |
| --- | --- | --- |
"""


def errors_page() -> str:
    """Returns the text of docs/ERRORS.md."""
    rows = [
        f"| {code.value} | {code.name} | {spec.status} |"
        f" {spec.executed.value} | {spec.meaning} |\n"
        for code, spec in sorted(CODES.items(), key=lambda row: row[0].value)
    ]
    return _ERRORS + "".join(rows)


def events_page() -> str:
    """Returns the text of docs/EVENTS.md."""
    rows = [
        f"| {event.value} | {event.name} | {meaning} |\n"
        for event, meaning in sorted(
            EVENTS.items(), key=lambda row: row[0].value
        )
    ]
    return _EVENTS + "".join(rows)


_CONFIG = """# Configuration

A deployment is a folder of small TOML files, merged in the order of their
names. A later file may add items and fields anywhere; to set again what an
earlier one set it must say so: `override = ["teams.members.rate"]` at its
top, naming a field or a whole table. `magnolialug-ctl validate FOLDER` finds
every error in one pass and names file, field and value.

Names are lower-case letters, digits and hyphens. A team's `key_hashes` are
what `magnolialug-ctl hash-key` prints for a bearer key on its input. Exactly
one kind of a model service has `default = true`; a caller names another one
as `metadata: {"kind": ...}`. `zones.NAME.region`, `zones.NAME.hop_ms` and
`endpoints.NAME.fencing` are checked and kept, and no program decides by them.
The tables below are written by `make docs`.

"""


def config_page() -> str:
    """Returns the text of docs/CONFIG.md."""
    parts = [_CONFIG]
    for name, section in SECTIONS.items():
        title = f"{name}.NAME" if section.named else name
        parts.append(_section(title, section))
    parts.append(_gateway_limits())
    return "\n".join(parts)


def _gateway_limits() -> str:
    lines = [
        "## What a gateway holds for callers\n",
        "On the division's platform, by the settings file that the platform",
        "writes. No request within the operator's limits meets one in calm.\n",
        "| limit | default | bounds | answer | metrics | events |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in GATEWAY_LIMITS:
        cells = msgspec.structs.astuple(row)
        lines.append("| " + " | ".join(_cell(text) for text in cells) + " |")
    lines += [
        "",
        "Entries and sidecars count likewise, by `--memory_mb` (232): an",
        "entry five times the size of a body, for its copies, a sidecar three",
        "times that of a dispatch from its arrival to its end. What finds no",
        "room is refused with 323 as not run.",
    ]
    return "\n".join(lines) + "\n"


def _cell(text: str) -> str:
    return text.replace("|", "\\|")


def _section(title: str, section: Section) -> str:
    lines = [
        f"## `[{title}]`\n",
        "| field | form | default | allowed |",
        "| --- | --- | --- | --- |",
    ]
    for option in section.options:
        default = "required" if option.default is REQUIRED else option.default
        lines.append(
            f"| `{option.name}` | {option.form} | {default} |"
            f" {_allowed(option)} |"
        )
    text = "\n".join(lines) + "\n"
    for name, child in section.children.items():
        text += "\n" + _section(f"{title}.{name}.NAME", child)
    return text


def _allowed(option: Option) -> str:
    if option.names:
        return f"an item of `{option.names}`"
    if option.choices:
        return ", ".join(option.choices)
    if option.form in ("int", "float"):
        return f"{option.low:g} to {option.high:g}"
    return ""


if __name__ == "__main__":
    folder = pathlib.Path(sys.argv[1])
    (folder / "ERRORS.md").write_text(errors_page())
    (folder / "CONFIG.md").write_text(config_page())
    (folder / "EVENTS.md").write_text(events_page())
