"""What a gateway carries at the target's size."""

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

__all__ = ["gateway_rows"]

# Engines here send an event for every six tokens.
_TOKENS_AN_EVENT = 6
# 300,000 returning prompts with two shared parts each.
_PARTS = 600_000
# Entries that keep the book of a store.
_STORE_OWNERS = 2
# Owners that are asked for one choice while engines are not full, and reports
# of the request's work: sent, first event, ended, and three repeats a second of
# two seconds' work.
_ASKED = 3
_WORDS = 9
_WATCHES = 1
_WATCH_S = 25.0
_RENEWALS_S = 1 / 3
# Stale reads of the revision while a watch waits; each costs a tenth of a call.
_CHECKS_S = 1 / 0.8


def gateway_rows(cost: Mapping[str, float]) -> list[Row]:
    """Returns the gateway's rows, and its share of the key-value service.

    Args:
      cost: medians of the slopes by name.
    """
    requests = REQUESTS / ENTRIES
    events = TOKENS / ENTRIES / _TOKENS_AN_EVENT
    engines = ENDPOINTS * cost["engine known to a gateway"] / MB
    teams = TEAMS * cost["team known to a gateway"] / MB
    parts = (
        _PARTS
        * _STORE_OWNERS
        / ENTRIES
        * cost["cache part known to the owner of its store"]
        / MB
    )
    base = cost["process that imported magnolialug.entry.gateway"]
    one_request = (
        cost["caller's headers read"]
        + cost["route among 1,000 and team among 25,000"]
        + cost["endpoint's request written"]
        + 4 * cost["log line, JSON"]
    )
    choice = cost["choice among 2,000 engines"]
    message_bytes = (
        _ASKED * cost["question to an owner on the wire"]
        + _ASKED * cost["owner's answer on the wire"]
        + _WORDS * cost["word of work on the wire"]
    )
    message_us = _ASKED * (
        cost["question written, answer read"]
        + cost["question read and answered"]
    )
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
            "two gateways keep the book of a store, others ask them",
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
            "a few engines are compared",
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
            "control: questions, answers and words of work",
            requests * message_bytes / 1e3,
            "KB/s",
            "4",
            "three owners asked a request, whatever the fleet",
        ),
        Row(
            "gateway",
            "control: questions, without the library's sockets",
            requests * message_us / 1e4,
            "% of a core",
            "1.9",
            "as many are answered as are asked",
        ),
        Row(
            "gateway",
            "control: 2,000 configuration changes a day",
            CHANGES_A_DAY
            * cost["routes for 25,000 teams in the store"]
            * 1e3
            / DAY_S,
            "KB/s",
            "4",
            "whole configuration with each change",
        ),
        Row(
            "gateway",
            "control: configuration changes",
            CHANGES_A_DAY * cost["routes for 25,000 teams read"] / DAY_S / 1e4,
            "% of a core",
            "1.9",
            "whole configuration, read once",
        ),
        Row(
            "KV",
            "gateways' watches and leases",
            ENTRIES * (_WATCHES / _WATCH_S + _RENEWALS_S),
            "calls/s",
            "2,000",
            "one watch of 25 s, one renewal in 3 s",
        ),
        Row(
            "KV",
            "gateways' checks of watches",
            ENTRIES * _CHECKS_S,
            "stale reads/s",
            "",
            "outside the quota; none while much changes",
        ),
    ]
