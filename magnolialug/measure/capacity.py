"""What each role carries at the target's size, from measured slopes."""

from collections.abc import Mapping

from magnolialug.measure.capacityrow import (
    CHANGES_A_DAY,
    DAY_S,
    ENDPOINTS,
    ENTRIES,
    MB,
    REQUESTS,
    TEAMS,
    TOKENS,
    Row,
)
from magnolialug.measure.gatewaycapacity import gateway_rows
from magnolialug.measure.slope import Slope

__all__ = ["capacity_rows", "capacity_table"]

_ZONES = 6
_BELIEFS = 12_000
_REPLACED_A_DAY = 225
_NON_IDEMPOTENT = 0.05
_HEARTBEAT_S = 1.0
_IDLE_LINK_S = 30.0
_KEEP_S = 900.0


def capacity_rows(slopes: Mapping[str, Slope]) -> list[Row]:
    """Returns the page's rows.

    Args:
      slopes: by name, as measure_slopes gives them.
    """
    cost = {name: slope.median for name, slope in slopes.items()}
    return [*gateway_rows(cost), *_entry(cost), *_sidecar(cost), *_kv(cost)]


def _entry(cost: Mapping[str, float]) -> list[Row]:
    requests = REQUESTS / ENTRIES
    tokens = TOKENS / ENTRIES
    used = min(ENDPOINTS, requests * _IDLE_LINK_S)
    beat_us = (
        cost["status decoded"]
        + cost["heartbeat decoded"]
        + cost["status encoded"]
    )
    beat_bytes = (
        cost["heartbeat of an entry on the wire"]
        + cost["status of a sidecar on the wire"]
    )
    teams = TEAMS * cost["team in a configuration"] / MB
    fleet = ENDPOINTS * cost["endpoint: view and ring points"] / MB
    links = ENDPOINTS * cost["link object (without the socket)"] / MB
    cache_estimates = _BELIEFS * cost["prompt known to an entry"] / MB
    base = cost["process that imported magnolialug.cmd.entry"]
    total = base + teams + fleet + links + cache_estimates
    placement = cost["placement, 2000 endpoints, 300000 prompts"]
    request = cost["request through an entry, 1 token"]
    log = 3 * cost["log line, JSON"]
    change = cost["configuration of 25,000 teams read"]
    return [
        Row(
            "entry",
            "libraries alone",
            base,
            "MB",
            "64",
            "few libraries; no TLS library loaded without TLS",
        ),
        Row("entry", "25,000 teams", teams, "MB", "", "typed structs"),
        Row(
            "entry",
            "2,000 endpoints",
            fleet,
            "MB",
            "",
            "one machine word a ring point",
        ),
        Row("entry", "2,000 links", links, "MB", "", "one link an endpoint"),
        Row(
            "entry",
            f"{_BELIEFS:,} prompts",
            cache_estimates,
            "MB",
            "",
            "bounded, least recently seen dropped; the ring finds the rest",
        ),
        Row("entry", "memory in all", total, "MB", "64", "the sum"),
        Row(
            "entry",
            f"requests, {requests:.0f} a second",
            requests * (request + log + placement) / 1e4,
            "% of a core",
            "",
            "work of the calls themselves",
        ),
        Row(
            "entry",
            f"tokens, {tokens:,.0f} a second",
            tokens * cost["token through an entry"] / 1e4,
            "% of a core",
            "",
            "one frame a token, acks every 16",
        ),
        Row(
            "entry",
            "control: heartbeats of 2,000 links",
            ENDPOINTS / _HEARTBEAT_S * beat_us / 1e4,
            "% of a core",
            "1.9",
            "codec time only; the same message carries load and versions",
        ),
        Row(
            "entry",
            "control: configuration changes",
            CHANGES_A_DAY * change / DAY_S / 1e4,
            "% of a core",
            "1.9",
            "whole text, applied once",
        ),
        Row(
            "entry",
            "control: bytes of 2,000 changes a day",
            CHANGES_A_DAY
            * TEAMS
            * cost["team in a configuration's text"]
            / DAY_S
            / 1e3,
            "KB/s",
            "4",
            "whole text to every node, from a peer",
        ),
        Row(
            "entry",
            "control: bytes, 2,000 links",
            ENDPOINTS / _HEARTBEAT_S * beat_bytes / 1e3,
            "KB/s",
            "4",
            "heartbeat a second on every link",
        ),
        Row(
            "entry",
            f"control: bytes, only the {used:.0f} links used in 30 s",
            used / _IDLE_LINK_S * beat_bytes / 1e3,
            "KB/s",
            "4",
            "trial figure: links on demand, idle ones silent for 30 s",
        ),
    ]


def _sidecar(cost: Mapping[str, float]) -> list[Row]:
    requests = REQUESTS / ENDPOINTS
    base = cost["process that imported magnolialug.cmd.sidecar"]
    teams = TEAMS * cost["team in a configuration"] / MB
    records = requests * _KEEP_S * cost["attempt remembered by a sidecar"]
    links = ENTRIES * cost["link object (without the socket)"] / MB
    beat_bytes = (
        cost["heartbeat of an entry on the wire"]
        + cost["status of a sidecar on the wire"]
    )
    beat_us = cost["status encoded"] + cost["heartbeat decoded"]
    step = (
        cost["gate: dispatch, hand-over, end"]
        + cost["fair queue: push and pop at 100"]
        + cost["block chain of a 6,000-token prompt"]
    )
    return [
        Row("sidecar", "libraries alone", base, "MB", "64", "as above"),
        Row(
            "sidecar",
            "memory in all",
            base + teams + records / MB + links,
            "MB",
            "64",
            "records dropped after 900 s; born stamps bound the seals",
        ),
        Row(
            "sidecar",
            f"decisions, {requests:.0f} requests a second",
            requests * step / 1e4,
            "% of a core",
            "",
            "gate, queue, block chain",
        ),
        Row(
            "sidecar",
            "control: heartbeats of 360 links",
            ENTRIES / _HEARTBEAT_S * beat_us / 1e4,
            "% of a core",
            "1.9",
            "codec time only",
        ),
        Row(
            "sidecar",
            "control: bytes, 360 links",
            ENTRIES / _HEARTBEAT_S * beat_bytes / 1e3,
            "KB/s",
            "4",
            "heartbeat a second on every link",
        ),
    ]


def _kv(cost: Mapping[str, float]) -> list[Row]:
    claims = REQUESTS * _NON_IDEMPOTENT
    writes = claims * cost["non-idempotent request"]
    change = cost["configuration change (applying)"]
    starts = _REPLACED_A_DAY / DAY_S
    zone = (ENTRIES + ENDPOINTS) / _ZONES
    return [
        Row(
            "KV",
            "claims if 5% of calls are non-idempotent",
            writes,
            "writes/s",
            "several hundred",
            "one create and one answer a call; one lease an hour an entry",
        ),
        Row(
            "KV",
            "configuration changes",
            CHANGES_A_DAY * change / DAY_S,
            "calls/s",
            "",
            "chunk, head and history scan by the applier",
        ),
        Row(
            "KV",
            "watches that wait",
            3,
            "calls",
            "",
            "three leased watchers; versions ride on heartbeats",
        ),
        Row(
            "KV",
            "watchers' leases and reads",
            3 * (1 / 3 + 1 / 2),
            "calls/s",
            "",
            "renewed every 3 s, head read every 2 s",
        ),
        Row(
            "KV",
            "start-up reads, 225 VMs a day",
            starts * 2,
            "reads/s",
            "2,000",
            "head and chunk",
        ),
        Row(
            "KV",
            "start-up reads after a zone's loss",
            zone * 2,
            "reads",
            "2,000/s",
            "all at once if replaced at once",
        ),
        Row(
            "KV",
            "25,000 teams as configuration text",
            TEAMS * cost["team in a configuration's text"] / MB,
            "MB",
            "1 a value",
            "chunks of 200,000 characters",
        ),
    ]


def capacity_table(rows: list[Row]) -> str:
    """Returns the rows as a Markdown table."""
    lines = [
        "| role | figure | value | unit | target | carried by |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.role} | {row.figure} | {row.value:,.3g} | {row.unit} |"
            f" {row.bound} | {row.mechanism} |"
        )
    return "\n".join(lines) + "\n"
