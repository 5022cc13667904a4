"""Describes requests that were not served, for a report of a broken promise."""

from collections import defaultdict
from collections.abc import Sequence

from magnolialug.soak.historychecker import Sent

__all__ = ["describe_unserved"]

# Logs tell the rest of a request's story by its id.
_IDS_SHOWN = 2


def describe_unserved(rows: Sequence[Sent]) -> str:
    """Returns how requests ended and who had them, the largest group first."""
    groups: dict[str, list[Sent]] = defaultdict(list)
    for row in rows:
        groups[_describe(row)].append(row)
    ordered = sorted(groups.items(), key=lambda group: -len(group[1]))
    return "; ".join(
        f"{len(group)} {told} ({_ids(group)})" for told, group in ordered
    )


def _describe(row: Sent) -> str:
    """Returns a request's kind, machine, end and the endpoints that got it."""
    if row.status:
        end = f"status {row.status}"
    else:
        end = "no answer" if row.left_at is None else "caller left or was cut"
    reached = ", ".join(instance for _, instance in row.arrivals)
    where = f"reached {reached}" if reached else "reached no endpoint"
    return f"{row.form.value} at {row.machine}: {end}, {where}"


def _ids(rows: Sequence[Sent]) -> str:
    shown = [row.request_id for row in rows[:_IDS_SHOWN]]
    return ", ".join(shown + ["..."] * (len(rows) > _IDS_SHOWN))
