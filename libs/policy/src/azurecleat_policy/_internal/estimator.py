"""Estimates of task sizes and run times from recent attempts, per team and job name.

Declared values are often far too high or too low. An estimate is a high quantile of the recent
attempts. A size is never below the declared one, and at most a fixed multiple of it, so that one
wrong report cannot reserve a whole worker.
"""

from __future__ import annotations

from collections import OrderedDict, deque

from azurecleat_model import Job, Resources

MAX_SAMPLES = 32
MIN_SAMPLES = 5
"""With fewer durations, the declared run time is used."""

QUANTILE = 0.9
MAX_GROWTH_FACTOR = 4
"""Bound on an estimated size, as a multiple of the declared one."""

MAX_HISTORIES = 20_000


class _History:
    __slots__ = ("peaks", "durations")

    def __init__(self) -> None:
        self.peaks: deque[Resources] = deque(maxlen=MAX_SAMPLES)
        self.durations: deque[float] = deque(maxlen=MAX_SAMPLES)


class Estimator:
    """Keeps peak usage and durations of recent attempts."""

    def __init__(self) -> None:
        self._histories: OrderedDict[tuple[str, str], _History] = OrderedDict()

    def observe_peak(self, job: Job, peak: Resources) -> None:
        """Records the usage of an attempt that exceeded its size."""
        self._history(job).peaks.append(peak)

    def observe_duration(self, job: Job, seconds: float) -> None:
        """Records the duration of a successful attempt."""
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
        # The run time is part of the shape: rounding to powers of two keeps the number of lanes
        # small while estimates change.
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
