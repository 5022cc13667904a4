"""The sections and fields of a configuration folder, as data."""

import msgspec

from magnolialug.config.option import Option

__all__ = ["SECTIONS", "Section"]

_DAY_S = 86400.0


class Section(msgspec.Struct, frozen=True):
    """One table of the configuration.

    Attributes:
      named: whether it holds items by name, each with the fields.
      options: the fields.
      children: named tables inside each item.
    """

    named: bool
    options: tuple[Option, ...]
    children: dict[str, "Section"] = {}


_KIND = Section(
    named=True,
    options=(
        Option("max_wait_s", "float", low=0.01, high=_DAY_S),
        Option("idempotent", "bool"),
        Option("priority", "int", 1, high=3),
        Option("default", "bool", False),
        Option("max_tokens", "int", 1024, low=1, high=1_000_000),
    ),
)

SECTIONS: dict[str, Section] = {
    "deployment": Section(False, (Option("name", "str"),)),
    "measures": Section(
        False,
        (
            Option("ttft", "float", 1.0, high=1000),
            Option("recompute", "float", 0.1, high=1000),
            Option("link", "float", 0.02, high=1000),
        ),
    ),
    "limits": Section(
        False,
        (
            Option("body_bytes", "int", 2_000_000, low=1024, high=3_000_000),
            Option("body_s", "float", 10.0, low=0.1, high=600),
            Option("answer_bytes", "int", 1_000_000, low=1024),
            Option("queue_items", "int", 256, low=1, high=100_000),
            Option("drain_s", "float", 60.0, high=3600),
            Option("claim_keep_s", "float", _DAY_S, low=60),
            Option("retry_ratio", "float", 0.2, high=1),
        ),
    ),
    "zones": Section(
        True, (Option("region", "str", "home"), Option("hop_ms", "float", 0.5))
    ),
    "models": Section(
        True,
        (
            Option("weights", "str"),
            Option("token_bytes", "int", 131072, low=1),
        ),
    ),
    "teams": Section(
        True,
        (
            Option("key_hashes", "strs"),
            Option("share", "float", 1.0, low=0.01, high=1000),
            Option("rate", "float", 50.0, low=0.01),
            Option("concurrency", "int", 64, low=1),
        ),
    ),
    "services": Section(
        True,
        (
            Option("type", "str", choices=("model", "plain")),
            Option("models", "strs", [], names="models"),
        ),
        {"kinds": _KIND},
    ),
    "endpoints": Section(
        True,
        (
            Option("service", "str", names="services"),
            Option("zone", "str", names="zones"),
            Option("host", "str"),
            Option("port", "int", high=65535),
            Option("target", "str"),
            Option("slots", "int", 8, low=1, high=4096),
            Option("cache_tokens", "int", 60_000, low=0),
            Option("prefill_rate", "float", 4000.0, low=1),
            Option("fencing", "bool", True),
        ),
    ),
    "stores": Section(
        True,
        (
            Option("zone", "str", names="zones"),
            Option("url", "str"),
            Option("memory_bytes", "int", low=0),
            Option("disk_bytes", "int", low=0),
            Option("memory_rate", "float", 1e9, low=1),
            Option("disk_rate", "float", 2e8, low=1),
        ),
    ),
}
