"""What each role carries at the target's size, from measured slopes."""

from collections.abc import Mapping

import msgspec

from magnolialug.measure.slope import Slope

__all__ = ["Row", "capacity_rows", "capacity_table"]

_ENTRIES = 360
_ENDPOINTS = 2000
_REQUESTS = 4000
_TOKENS = 850_000
_TEAMS = 25_000
_ZONES = 6
_BELIEFS = 12_000
_CHANGES_A_DAY = 2000
_REPLACED_A_DAY = 225
_NON_IDEMPOTENT = 0.05
_HEARTBEAT_S = 1.0
_IDLE_LINK_S = 30.0
_KEEP_S = 900.0
_DAY_S = 86_400.0
_MB = 1e6
# Engines here send an event for every six tokens.
_TOKENS_AN_EVENT = 6
# 300,000 returning prompts with two shared parts each.
_PARTS = 600_000
# A gateway's load reports: one each 0.25 s when idle.
_REPORTS_S = 4.0
_WATCHES = 4
_WATCH_S = 10.0
_RENEWALS_S = 1 / 3


class Row(msgspec.Struct, frozen=True):
    """One figure of one role.

    Attributes:
      bound: what the target allows, "" where it names none.
      mechanism: what carries it.
    """

    role: str
    figure: str
    value: float
    unit: str
    bound: str
    mechanism: str


def capacity_rows(slopes: Mapping[str, Slope]) -> list[Row]:
    """Returns the page's rows.

    Args:
      slopes: by name, as measure_slopes gives them.
    """
    cost = {name: slope.median for name, slope in slopes.items()}
    return [*_gateway(cost), *_entry(cost), *_sidecar(cost), *_kv(cost)]


def _gateway(cost: Mapping[str, float]) -> list[Row]:
    requests = _REQUESTS / _ENTRIES
    events = _TOKENS / _ENTRIES / _TOKENS_AN_EVENT
    engines = _ENDPOINTS * cost["engine known to a gateway"] / _MB
    teams = _TEAMS * cost["team known to a gateway"] / _MB
    parts = _PARTS * cost["cache part known to a gateway"] / _MB
    base = cost["process that imported magnolialug.entry.gateway"]
    report = cost["load report over 6 engines on the wire"]
    peers = _ENTRIES - 1
    one_request = (
        cost["caller's headers read"]
        + cost["route among 1,000 and team among 25,000"]
        + cost["endpoint's request written"]
        + 4 * cost["log line, JSON"]
    )
    choice = cost["choice among 2,000 engines"]
    bytes_s = peers * report * _ENDPOINTS / 6 * _REPORTS_S / 1e3
    return [
        Row("gateway", "libraries alone", base, "MB", "64", "few libraries"),
        Row("gateway", "25,000 teams", teams, "MB", "", "typed structs"),
        Row("gateway", "2,000 engines", engines, "MB", "", "one load each"),
        Row(
            "gateway",
            "600,000 cache parts",
            parts,
            "MB",
            "",
            "every store's word at every gateway",
        ),
        Row(
            "gateway",
            "memory in all",
            base + teams + engines + parts,
            "MB",
            "64",
            "the sum",
        ),
        Row(
            "gateway",
            "requests, 11 a second, without the library's sockets",
            requests * one_request / 1e4,
            "% of a core",
            "",
            "headers, routes, one request written, four log lines",
        ),
        Row(
            "gateway",
            "choices, 11 a second among 2,000 engines",
            requests * choice / 1e4,
            "% of a core",
            "",
            "every engine is compared",
        ),
        Row(
            "gateway",
            "streamed events, 6 tokens each",
            events * cost["streamed event read and cut"] / 1e4,
            "% of a core",
            "",
            "one piece an event",
        ),
        Row(
            "gateway",
            "control: load reports to and from all",
            bytes_s,
            "KB/s",
            "4",
            "full mesh, all engines in each report",
        ),
        Row(
            "gateway",
            "control: 2,000 configuration changes a day",
            _CHANGES_A_DAY
            * cost["routes for 25,000 teams in the store"]
            * 1e3
            / _DAY_S,
            "KB/s",
            "4",
            "whole configuration with each change",
        ),
        Row(
            "gateway",
            "control: configuration changes",
            _CHANGES_A_DAY
            * cost["routes for 25,000 teams read"]
            / _DAY_S
            / 1e4,
            "% of a core",
            "1.9",
            "whole configuration, read once",
        ),
        Row(
            "KV",
            "gateways' watches and leases",
            _ENTRIES * (_WATCHES / _WATCH_S + _RENEWALS_S),
            "calls/s",
            "2,000",
            "four watches of 10 s, one renewal in 3 s",
        ),
    ]


def _entry(cost: Mapping[str, float]) -> list[Row]:
    requests = _REQUESTS / _ENTRIES
    tokens = _TOKENS / _ENTRIES
    used = min(_ENDPOINTS, requests * _IDLE_LINK_S)
    beat_us = (
        cost["status decoded"]
        + cost["heartbeat decoded"]
        + cost["status encoded"]
    )
    beat_bytes = (
        cost["heartbeat of an entry on the wire"]
        + cost["status of a sidecar on the wire"]
    )
    teams = _TEAMS * cost["team in a configuration"] / _MB
    fleet = _ENDPOINTS * cost["endpoint: view and ring points"] / _MB
    links = _ENDPOINTS * cost["link object (without the socket)"] / _MB
    beliefs = _BELIEFS * cost["prompt known to an entry"] / _MB
    base = cost["process that imported magnolialug.cmd.entry"]
    total = base + teams + fleet + links + beliefs
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
            beliefs,
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
            _ENDPOINTS / _HEARTBEAT_S * beat_us / 1e4,
            "% of a core",
            "1.9",
            "codec time only; the same message carries load and versions",
        ),
        Row(
            "entry",
            "control: configuration changes",
            _CHANGES_A_DAY * change / _DAY_S / 1e4,
            "% of a core",
            "1.9",
            "whole text, applied once",
        ),
        Row(
            "entry",
            "control: bytes of 2,000 changes a day",
            _CHANGES_A_DAY
            * _TEAMS
            * cost["team in a configuration's text"]
            / _DAY_S
            / 1e3,
            "KB/s",
            "4",
            "whole text to every node, from a peer",
        ),
        Row(
            "entry",
            "control: bytes, 2,000 links",
            _ENDPOINTS / _HEARTBEAT_S * beat_bytes / 1e3,
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
    requests = _REQUESTS / _ENDPOINTS
    base = cost["process that imported magnolialug.cmd.sidecar"]
    teams = _TEAMS * cost["team in a configuration"] / _MB
    records = requests * _KEEP_S * cost["attempt remembered by a sidecar"]
    links = _ENTRIES * cost["link object (without the socket)"] / _MB
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
            base + teams + records / _MB + links,
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
            _ENTRIES / _HEARTBEAT_S * beat_us / 1e4,
            "% of a core",
            "1.9",
            "codec time only",
        ),
        Row(
            "sidecar",
            "control: bytes, 360 links",
            _ENTRIES / _HEARTBEAT_S * beat_bytes / 1e3,
            "KB/s",
            "4",
            "heartbeat a second on every link",
        ),
    ]


def _kv(cost: Mapping[str, float]) -> list[Row]:
    claims = _REQUESTS * _NON_IDEMPOTENT
    writes = claims * cost["non-idempotent request"]
    change = cost["configuration change (applying)"]
    starts = _REPLACED_A_DAY / _DAY_S
    zone = (_ENTRIES + _ENDPOINTS) / _ZONES
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
            _CHANGES_A_DAY * change / _DAY_S,
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
            3 * (1 / 3 + 1 / 30),
            "calls/s",
            "",
            "renewed every 3 s, head read every 30 s",
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
            _TEAMS * cost["team in a configuration's text"] / _MB,
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
