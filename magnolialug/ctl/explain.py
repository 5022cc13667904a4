"""Tells from JSON log lines how a request was decided."""

from collections.abc import Iterable

import msgspec

__all__ = ["explain_request"]

_HIDDEN = frozenset({"at", "event", "name", "request", "costs"})


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns the story of a request, one line an event.

    Args:
      lines: log lines as `--log_format=json` writes them, of any process.
      request_id: as the caller got it in X-Request-Id.
    """
    story = []
    for line in lines:
        record = _record(line)
        if record.get("request") != request_id:
            continue
        story.append((record.get("at", 0.0), _told(record)))
    return [text for _, text in sorted(story)]


def _record(line: str) -> dict:
    try:
        record = msgspec.json.decode(line)
    except msgspec.DecodeError:
        return {}
    return record if isinstance(record, dict) else {}


def _told(record: dict) -> str:
    fields = ", ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _HIDDEN
    )
    text = f"{record.get('event')} {record.get('name')}: {fields}"
    for endpoint, source, ttft_s, cost in record.get("costs", ()):
        text += (
            f"\n    {endpoint}: cache from {source},"
            f" first word in {ttft_s} s, cost {cost}"
        )
    return text
