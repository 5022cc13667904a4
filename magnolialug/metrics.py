"""OpenTelemetry instruments, kept in memory and read as JSON or text."""

import msgspec
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from twisted.web.resource import Resource
from twisted.web.server import Request

from magnolialug.policy.memorybudget import MemoryBudget

__all__ = ["Instruments", "Metrics", "MetricsResource", "as_text"]


class Instruments:
    """A meter whose data points are read in the process itself."""

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        self.meter = self._provider.get_meter("magnolialug")

    def snapshot(self) -> list[dict]:
        """Returns every data point: name, attributes and figures."""
        data = self._reader.get_metrics_data()
        rows = []
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    rows.extend(_points(metric))
        return rows

    def observe_memory(self, budget: MemoryBudget) -> None:
        """Registers the gauges of what is held for callers, and its limit."""
        gauges = {
            "caller_memory_bytes": lambda: budget.held_bytes,
            "caller_memory_limit_bytes": lambda: budget.limit_bytes,
        }
        for name, value in gauges.items():
            self.meter.create_observable_gauge(
                name, callbacks=[lambda _, value=value: [Observation(value())]]
            )

    def as_json(self) -> bytes:
        """Returns the snapshot as JSON."""
        return msgspec.json.encode(self.snapshot())


class Metrics(Instruments):
    """The instruments of a process that speaks to sidecars.

    The users' three measures are time to first token, prompt tokens
    recomputed (of those seen), and bytes moved over store links.
    """

    def __init__(self) -> None:
        super().__init__()
        meter = self.meter
        self.ttft = meter.create_histogram("ttft", "s")
        self.prompt_tokens = meter.create_counter("prompt_tokens")
        self.recomputed_tokens = meter.create_counter("recomputed_tokens")
        self.link_bytes = meter.create_counter("link_bytes", "By")
        self.requests = meter.create_counter("requests")
        self.refusals = meter.create_counter("refusals")
        self.retries = meter.create_counter("retries")
        self.callers_gave_way = meter.create_counter("callers_gave_way")
        self.queued = meter.create_up_down_counter("queued")


class MetricsResource(Resource):
    """Serves one process's data points as JSON, whatever the path."""

    isLeaf = True

    def __init__(self, metrics: Metrics):
        super().__init__()
        self._metrics = metrics

    def render_GET(self, req: Request) -> bytes:
        """Returns the snapshot."""
        req.setHeader("Content-Type", "application/json")
        return self._metrics.as_json()


def as_text(rows: list[dict]) -> str:
    """Returns data points in the text form that scrapers read."""
    lines = []
    for row in rows:
        name = "magnolialug_" + row["name"]
        labels = [
            f'{key}="{value}"' for key, value in row["attributes"].items()
        ]
        if "buckets" not in row:
            lines.append(f"{name}{_labels(labels)} {row['value']}")
            continue
        total = 0
        bounds = [*row["bounds"], "+Inf"]
        for bound, count in zip(bounds, row["buckets"], strict=True):
            total += count
            le = _labels([*labels, f'le="{bound}"'])
            lines.append(f"{name}_bucket{le} {total}")
        lines.append(f"{name}_sum{_labels(labels)} {row['sum']}")
        lines.append(f"{name}_count{_labels(labels)} {row['count']}")
    return "\n".join(lines) + "\n"


def _labels(labels: list[str]) -> str:
    return "{" + ",".join(labels) + "}" if labels else ""


def _points(metric) -> list[dict]:
    rows = []
    for point in metric.data.data_points:
        row = {"name": metric.name, "attributes": dict(point.attributes)}
        if hasattr(point, "bucket_counts"):
            row["count"] = point.count
            row["sum"] = point.sum
            row["bounds"] = list(point.explicit_bounds)
            row["buckets"] = list(point.bucket_counts)
        else:
            row["value"] = point.value
        rows.append(row)
    return rows
