"""Sizes and run times learned from reports, per team and job name.

Declarations are far off in both directions. Estimates are high quantiles of the last attempts,
never below what was declared for sizes, and bounded so that one report cannot claim a worker.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from azurecleat_model import Job, Resources

MAX_SAMPLES = 32
MIN_SAMPLES = 5
QUANTILE = 0.9
MAX_GROWTH_FACTOR = 4
MAX_HISTORIES = 20_000


class _History:
    __slots__ = ("peaks", "durations")

    def __init__(self) -> None:
        self.peaks: deque[Resources] = deque(maxlen=MAX_SAMPLES)
        self.durations: deque[float] = deque(maxlen=MAX_SAMPLES)


class Estimator:
    """Remembers peaks and durations of recent attempts."""

    def __init__(self) -> None:
        self._histories: OrderedDict[tuple[str, str], _History] = OrderedDict()

    def observe_peak(self, job: Job, peak: Resources) -> None:
        """Records the highest usage reported for an attempt that exceeded its declaration."""
        self._history(job).peaks.append(peak)

    def observe_duration(self, job: Job, seconds: float) -> None:
        """Records how long a successful attempt took."""
        self._history(job).durations.append(seconds)

    def size(self, job: Job) -> Resources:
        """Returns the size to reserve for the next attempt."""
        declared = job.resources
        history = self._histories.get((job.team, job.spec.name))
        if history is None or not history.peaks:
            return declared
        learned = Resources(*(_quantile(values) for values in zip(*history.peaks, strict=True)))
        bound = Resources(*(MAX_GROWTH_FACTOR * amount for amount in declared))
        return declared.at_least(Resources(*map(min, learned, bound)))

    def run_s(self, job: Job) -> float:
        """Returns the expected duration of the next attempt in seconds."""
        history = self._histories.get((job.team, job.spec.name))
        if history is None or len(history.durations) < MIN_SAMPLES:
            return job.spec.run_s
        # Rounded up to a power of two: lanes of a job name stay few as estimates move.
        return _round_up_to_power_of_two(_quantile(history.durations))

    def _history(self, job: Job) -> _History:
        key = (job.team, job.spec.name)
        history = self._histories.get(key)
        if history is None:
            history = self._histories[key] = _History()
            if len(self._histories) > MAX_HISTORIES:
                self._histories.popitem(last=False)
        return history


def _quantile(values) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(QUANTILE * len(ordered)))]


def _round_up_to_power_of_two(seconds: float) -> float:
    bound = 1.0
    while bound < seconds:
        bound *= 2
    return bound
