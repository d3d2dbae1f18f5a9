"""Counters and latency histograms of one entry host."""

from collections import Counter
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

MIN_DURATION_US = 1
MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
# A histogram takes some 30 kB.
MAX_HISTOGRAMS = 1_000
MAX_COUNTERS = 5_000
DROPPED_SERIES: "Labels" = ("metric_series_dropped",)

Labels = tuple[str, ...]


class Metrics:
    """Counters and latency histograms, each identified by a tuple of labels.

    The first label is the name of the series; the others are its values.
    """

    def __init__(self) -> None:
        self.counters: Counter[Labels] = Counter()
        self.histograms: dict[Labels, HdrHistogram] = {}

    def count(self, *labels: str) -> None:
        """Increment the counter with these labels by one.

        Once MAX_COUNTERS counters exist, an event with new labels is counted
        as ``metric_series_dropped`` only.
        """
        if labels not in self.counters:
            if len(self.counters) >= MAX_COUNTERS:
                labels = DROPPED_SERIES
        self.counters[labels] += 1

    def time(self, duration_ms: float, *labels: str) -> None:
        """Record a duration in the histogram with these labels.

        Once MAX_HISTOGRAMS histograms exist, a duration with new labels is
        dropped and counted as ``metric_series_dropped``.

        Args:
            duration_ms: duration in milliseconds.
            labels: name of the series and its values.
        """
        histogram = self.histograms.get(labels)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                self.counters[DROPPED_SERIES] += 1
                return
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self.histograms[labels] = histogram
        duration_us = min(
            MAX_DURATION_US, max(MIN_DURATION_US, int(duration_ms * US_PER_MS))
        )
        histogram.record_value(duration_us)

    def lines(self) -> Iterator[str]:
        """Yield one line per counter, then one per histogram, each sorted."""
        for labels, count in sorted(self.counters.items()):
            yield f"{' '.join(labels)} {count}"
        for labels, histogram in sorted(self.histograms.items()):
            percentiles = " ".join(
                f"p{rank:g}={self._percentile_ms(histogram, rank):.3f}ms"
                for rank in PERCENTILES
            )
            total = histogram.get_total_count()
            yield f"{' '.join(labels)} count={total} {percentiles}"

    @staticmethod
    def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
        return float(histogram.get_value_at_percentile(percentile) / US_PER_MS)
