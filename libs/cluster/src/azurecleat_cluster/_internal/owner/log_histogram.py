"""A small histogram of durations with logarithmic bins, in which old values fade."""

from __future__ import annotations

import math
from collections.abc import Mapping

BINS_PER_OCTAVE = 4
"""A bin is 19% wide. Values are divided between the two nearest bins, so that the error of a
quantile is a fraction of that."""

MAX_BINS = 32
"""Most bins that are kept: eight octaves, or a factor of 256 between the shortest and the longest.

A histogram keeps several peaks apart, such as those of tasks with and without a cached image, which
a mean and a variance do not. The bound keeps the size and the cost of a quantile constant.
"""

FADING_WEIGHT = 64.0
"""Total weight to which a histogram grows: each value of weight 1 fades the others by 1/64."""

MIN_BIN_WEIGHT = 0.02
"""Weight below which a bin is dropped: a value of weight 1 reaches it after 250 further ones."""

QUANTILES = (0.5, 0.9, 0.95, 0.99)

MAX_LOG_S = math.log(30 * 86400.0)
"""Logarithm of the longest duration; longer ones count as this."""

_BIN_WIDTH = math.log(2.0) / BINS_PER_OCTAVE
_MIN_BIN = round(math.log(0.001) / _BIN_WIDTH)
_MAX_BIN = round(MAX_LOG_S / _BIN_WIDTH)
"""Bins of the shortest and the longest duration that are told apart: 1 ms and 30 days."""

LogQuantiles = tuple[float, ...]
"""Natural logarithms of the ``QUANTILES`` in seconds."""


class LogHistogram:
    """Weights of the logarithms of durations."""

    __slots__ = ("_bins", "_weight", "_quantiles")

    def __init__(self, bins: Mapping[int, float] | None = None) -> None:
        """
        :param bins: Weight by bin number.
        :raises ValueError: There are too many bins, or one of them does not exist.
        """
        self._bins: dict[int, float] = dict(bins or {})
        if len(self._bins) > MAX_BINS or any(not _MIN_BIN <= n <= _MAX_BIN + 1 for n in self._bins):
            raise ValueError(f"histogram with {len(self._bins)} bins, or one outside the range")
        self._weight = sum(self._bins.values())
        self._quantiles: LogQuantiles | None = None

    @property
    def weight(self) -> float:
        """Total weight of the values: their number while there are few."""
        return self._weight

    @property
    def bins(self) -> dict[int, float]:
        """Weight by bin number."""
        return self._bins

    @property
    def quantiles(self) -> LogQuantiles:
        """Logarithms of the ``QUANTILES``. The histogram must not be empty."""
        if self._quantiles is None:
            self._quantiles = self._find_quantiles()
        return self._quantiles

    @property
    def median(self) -> float:
        """Logarithm of the median. The histogram must not be empty."""
        return self.quantiles[0]

    def add(self, log_s: float, weight: float = 1.0) -> None:
        """Adds a value and fades the others.

        :param weight: Weight of the value, at most 1.
        """
        keep = 1.0 - weight / FADING_WEIGHT
        bins = {
            number: faded
            for number, each in self._bins.items()
            if (faded := each * keep) >= MIN_BIN_WEIGHT
        }
        position = min(max(log_s / _BIN_WIDTH, _MIN_BIN), _MAX_BIN)
        low = math.floor(position)
        share = position - low
        bins[low] = bins.get(low, 0.0) + weight * (1.0 - share)
        if share:
            bins[low + 1] = bins.get(low + 1, 0.0) + weight * share
        while len(bins) > MAX_BINS:
            del bins[min(bins, key=bins.__getitem__)]
        self._bins, self._weight, self._quantiles = bins, sum(bins.values()), None

    def median_above(self, log_s: float) -> float:
        """Returns the logarithm of the median of the values above a value; the value itself if
        there are none."""
        first = log_s / _BIN_WIDTH
        above = {number: each for number, each in self._bins.items() if number > first}
        return LogHistogram(above).median if above else log_s

    def _find_quantiles(self) -> LogQuantiles:
        """Finds all quantiles in one pass, with values spread evenly over each bin."""
        found: list[float] = []
        passed = 0.0
        number, weight = 0, 0.0
        for number, weight in sorted(self._bins.items()):
            while len(found) < len(QUANTILES):
                wanted = QUANTILES[len(found)] * self._weight
                if wanted > passed + weight:
                    break
                found.append((number - 0.5 + (wanted - passed) / weight) * _BIN_WIDTH)
            passed += weight
        # Rounding errors may leave the sum just below the last quantile.
        found.extend([(number + 0.5) * _BIN_WIDTH] * (len(QUANTILES) - len(found)))
        return tuple(found)
