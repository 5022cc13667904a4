"""Measures one call's answer, and tells it in log fields and metrics."""

from collections.abc import Callable

from magnolialug.config.routing import RouteType
from magnolialug.entry.forwardcall import ForwardCall
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.entry.gatewaysink import GatewaySink
from magnolialug.eventgaps.meter import GapMeter
from magnolialug.policy.ontime import Lateness, are_gaps_in_time, lateness

__all__ = ["AnswerGaps"]

_SUCCESS = range(200, 300)


class AnswerGaps:
    """The pauses of one call's answer.

    Only answers of routes that stream, or that name a pause, are measured;
    others have no fields.

    Args:
      sink: writes the answer; it gets the meter.
    """

    def __init__(
        self,
        call: ForwardCall,
        sink: GatewaySink,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ):
        self._call = call
        self._sink = sink
        self._metrics = metrics
        route = call.route
        if route.form is RouteType.STREAMING or route.gap_s:
            sink.meter = GapMeter(clock)

    def count_whole(self, first_s: float) -> dict[str, object]:
        """Counts a whole answer; returns the fields of its line.

        Args:
          first_s: from the request to the first byte of its answer.
        """
        if self._sink.status not in _SUCCESS:
            return {}
        route, meter = self._call.route, self._sink.meter
        longest_s = meter.longest_s if meter else 0.0
        if meter and meter.first_at is not None:
            first_s = meter.first_at - self._call.arrived
        late = lateness(first_s, longest_s, route.target_s, route.gap_s)
        if late is not Lateness.ON_TIME:
            labels = {"route": route.name, "cause": late.value}
            self._metrics.answers_late.add(1, labels)
        if meter is None:
            return {}
        if meter.events > 1:
            self._metrics.event_gap.record(longest_s, {"route": route.name})
        return {
            "events": meter.events,
            **self._gap_fields(meter),
            "gaps_in_time": are_gaps_in_time(longest_s, route.gap_s),
            "reader_paused_s": round(meter.reader_paused_s, 3),
            "late": late.value,
        }

    def broken_off_fields(self) -> dict[str, object]:
        """Returns the fields of an answer that ends before it is whole.

        Returns:
          none if its caller has got no event.
        """
        meter = self._sink.meter
        if meter is None or not meter.events:
            return {}
        meter.break_off()
        return self._gap_fields(meter)

    def _gap_fields(self, meter: GapMeter) -> dict[str, object]:
        return {
            "longest_gap_s": round(meter.longest_s, 3),
            "gap_after": meter.longest_after,
            "gap_s": self._call.route.gap_s,
        }
