"""Latency histograms, counters and gauges in the Prometheus text format."""

import threading
from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
MICROSECONDS_PER_SECOND = 1_000_000
PERCENT = 100

_Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Duration histograms, counters and gauges, by name."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._count_by_name: Counter[str] = Counter()
        self._count_by_labels_by_name: dict[str, Counter[_Labels]] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}

    def observe(self, name: str, duration_s: float) -> None:
        """Record one duration."""
        value_us = max(LOWEST_US, int(duration_s * MICROSECONDS_PER_SECOND))
        with self._lock:
            histogram = self._histogram_by_name.get(name)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
                self._histogram_by_name[name] = histogram
            histogram.record_value(min(value_us, HIGHEST_US))

    def count(self, name: str) -> None:
        """Count one event."""
        with self._lock:
            self._count_by_name[name] += 1

    def count_labelled(self, name: str, /, **labels: str) -> None:
        """Count one event under labels, whose values the caller bounds in number."""
        with self._lock:
            counts = self._count_by_labels_by_name.setdefault(name, Counter())
            counts[tuple(labels.items())] += 1

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a value that ``read`` returns whenever the metrics are read."""
        with self._lock:
            self._gauge_by_name[name] = read

    def text(self) -> str:
        """Return all metrics as text, durations in seconds."""
        lines = []
        with self._lock:
            for name, histogram in sorted(self._histogram_by_name.items()):
                lines.extend(_summary(f"camphoryard_{name}_seconds", histogram))
            for name, count in sorted(self._count_by_name.items()):
                lines.append(f"# TYPE camphoryard_{name}_total counter")
                lines.append(f"camphoryard_{name}_total {count}")
            for name, counts in sorted(self._count_by_labels_by_name.items()):
                lines.append(f"# TYPE camphoryard_{name}_total counter")
                lines.extend(
                    f"camphoryard_{name}_total{{{_labels_text(labels)}}} {count}"
                    for labels, count in sorted(counts.items())
                )
            gauges = sorted(self._gauge_by_name.items())
        for name, read in gauges:
            lines.append(f"# TYPE camphoryard_{name} gauge")
            lines.append(f"camphoryard_{name} {read():g}")
        return "\n".join(lines) + "\n"


def _summary(name: str, histogram: HdrHistogram) -> list[str]:
    lines = [f"# TYPE {name} summary"]
    for quantile in QUANTILES:
        value_us = histogram.get_value_at_percentile(quantile)
        label = f'quantile="{quantile / PERCENT}"'
        lines.append(f"{name}{{{label}}} {value_us / MICROSECONDS_PER_SECOND}")
    count = histogram.get_total_count()
    total_s = histogram.get_mean_value() * count / MICROSECONDS_PER_SECOND
    lines.append(f"{name}_sum {total_s}")
    lines.append(f"{name}_count {count}")
    return lines


def _labels_text(labels: _Labels) -> str:
    return ",".join(f'{name}="{_escaped(value)}"' for name, value in labels)


def _escaped(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
