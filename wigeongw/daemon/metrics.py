"""Counters and latency histograms of one entry host."""

from collections import Counter
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
US_PER_MS = 1000.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
SERIES_MOST = 5_000

Labels = tuple[str, ...]


class Metrics:
    """What is counted and timed; times are given in milliseconds."""

    def __init__(self) -> None:
        self.counters: Counter[Labels] = Counter()
        self.histograms: dict[Labels, HdrHistogram] = {}

    def count(self, *labels: str) -> None:
        """Add one to a counter named by its labels."""
        self.counters[labels] += 1

    def time(self, ms: float, *labels: str) -> None:
        """Record a duration in a histogram named by its labels."""
        histogram = self.histograms.get(labels)
        if histogram is None:
            if len(self.histograms) >= SERIES_MOST:
                self.count("metric_series_dropped")
                return
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.histograms[labels] = histogram
        value = min(HIGHEST_US, max(LOWEST_US, int(ms * US_PER_MS)))
        histogram.record_value(value)

    def lines(self) -> Iterator[str]:
        """Yield one line per counter and histogram, sorted by name."""
        for labels, number in sorted(self.counters.items()):
            yield f"{' '.join(labels)} {number}"
        for labels, histogram in sorted(self.histograms.items()):
            values = " ".join(
                f"p{p:g}={self._ms(histogram, p):.3f}ms" for p in PERCENTILES
            )
            total = histogram.get_total_count()
            yield f"{' '.join(labels)} count={total} {values}"

    @staticmethod
    def _ms(histogram: HdrHistogram, percentile: float) -> float:
        return float(histogram.get_value_at_percentile(percentile) / US_PER_MS)
