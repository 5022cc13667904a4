"""Metrics of the gateway."""

from collections.abc import Callable, Iterable

from opentelemetry.metrics import CallbackOptions, Observation

from magnolialug.metrics import Instruments

__all__ = ["LATENCY_BUCKETS_S", "GatewayMetrics"]

# The latency targets of request kinds are 0.1 to 0.8 s; the last bound is the
# longest time that a route allows.
LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)


class GatewayMetrics(Instruments):
    """Counters and histograms, and gauges that are read on demand."""

    def __init__(self) -> None:
        super().__init__()
        meter = self.meter
        self.first_event = meter.create_histogram(
            "first_event_seconds",
            "s",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self.answer = meter.create_histogram(
            "answer_seconds",
            "s",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self.event_gap = meter.create_histogram(
            "event_gap_seconds",
            "s",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self.answers_late = meter.create_counter("answers_late")
        self.admission_wait = meter.create_histogram(
            "admission_wait_seconds",
            "s",
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self.admissions_led = meter.create_counter("admissions_led")
        self.requests = meter.create_counter("requests")
        self.refusals = meter.create_counter("refusals")
        self.limited = meter.create_counter("requests_limited")
        self.streams_taken_up = meter.create_counter("streams_taken_up")
        self.registry_reads = meter.create_counter("registry_reads")
        self.retries = meter.create_counter("retries")
        self.ends_unproven = meter.create_counter("ends_unproven")
        self.attempts = meter.create_counter("attempts")
        self.kv_calls = meter.create_counter("kv_calls")
        self.kv_bytes = meter.create_counter("kv_bytes", "By")
        self.connections_refused = meter.create_counter("connections_refused")
        self.idle_connections_closed = meter.create_counter(
            "idle_connections_closed"
        )
        self.callers_gave_way = meter.create_counter("callers_gave_way")
        self.connections_made = meter.create_counter("connections_made")
        self.tokens = meter.create_counter("prompt_tokens")
        self.parts = meter.create_counter("cache_parts")
        self.pace_samples = meter.create_counter("engine_pace_samples")
        self.orders = meter.create_counter("orders")
        self.wrong_starts = meter.create_counter("wrong_starts")
        self.lines_dropped = meter.create_counter("log_lines_dropped")

    def record_admission(
        self, route: str, waited_s: float, reason: str
    ) -> None:
        """Records a prompt's wait for memory.

        Args:
          reason: the largest part of its lead, "" if it had none.
        """
        self.admission_wait.record(waited_s, {"route": route})
        if reason:
            self.admissions_led.add(1, {"reason": reason})

    def observe(
        self, name: str, rows: Callable[[], Iterable[tuple[float, dict]]]
    ) -> None:
        """Registers a gauge that is evaluated whenever metrics are read.

        Args:
          name: the gauge's name.
          rows: returns the values, each with its labels.
        """

        def callback(_: CallbackOptions) -> list[Observation]:
            return [Observation(value, labels) for value, labels in rows()]

        self.meter.create_observable_gauge(name, callbacks=[callback])
