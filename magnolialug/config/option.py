"""Options as data, read by one checked helper."""

from typing import Any

import msgspec

from magnolialug.result import Code, Failure, failed

__all__ = ["REQUIRED", "Option", "check"]

REQUIRED = object()

_TYPE_WORDS = {
    "str": "a string",
    "int": "a whole number",
    "float": "a number",
    "bool": "true or false",
    "strs": "a list of strings",
}


class Option(msgspec.Struct, frozen=True):
    """One field that a table of the configuration may have.

    Attributes:
      name: the field's name.
      form: "str", "int", "float", "bool" or "strs".
      default: used when absent; REQUIRED if it may not be.
      low: least number allowed.
      high: greatest number allowed.
      choices: the strings allowed; empty for any.
      names: the section that a string must name an item of.
    """

    name: str
    form: str
    default: Any = REQUIRED
    low: float = 0
    high: float = float("inf")
    choices: tuple[str, ...] = ()
    names: str = ""


def check(option: Option, path: str, value: object) -> Any | Failure:
    """Returns the value of an option, or a failure naming path and value."""
    if not _has_form(option.form, value):
        return failed(
            Code.BAD_CONFIG_TYPE,
            f"must be {_TYPE_WORDS[option.form]}",
            path,
            repr(value),
        )
    if option.form in ("int", "float"):
        if not option.low <= value <= option.high:
            return failed(
                Code.BAD_CONFIG_VALUE,
                f"must be from {option.low} to {option.high}",
                path,
                value,
            )
        return float(value) if option.form == "float" else value
    if option.choices and value not in option.choices:
        return failed(
            Code.BAD_CONFIG_VALUE,
            f"must be one of {', '.join(option.choices)}",
            path,
            value,
        )
    return value


def _has_form(form: str, value: object) -> bool:
    if form == "bool":
        return isinstance(value, bool)
    if isinstance(value, bool):
        return False
    if form == "int":
        return isinstance(value, int)
    if form == "float":
        return isinstance(value, int | float)
    if form == "strs":
        return isinstance(value, list) and all(
            isinstance(item, str) for item in value
        )
    return isinstance(value, str)
