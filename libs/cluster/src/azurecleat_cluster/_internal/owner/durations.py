"""Expected durations of tasks, learned from finished runs. No I/O, no clock, no threads.

All durations are at the average speed of the target kinds: the caller passes the slowness of the
target's kind, which is divided out. See ``docs/design/durations.md`` for the choices.
"""

from __future__ import annotations

import json
import math
from collections import OrderedDict
from collections.abc import Callable, Hashable, Mapping
from typing import Any, Generic, NamedTuple, TypeVar

from azurecleat_cluster._internal.owner.log_histogram import FADING_WEIGHT, MAX_LOG_S, LogHistogram
from azurecleat_cluster._internal.replica.records import load

MAX_KEYS = 4096
"""Most keys that are kept, at about 2 KB each. The least recently observed key is dropped first."""

MAX_ACCOUNTS = 512
"""Most accounts, in all and of each queue, of which something is kept."""

MAX_RECORD_BYTES = 28_000
"""Bound of the encoded model. Every instance reads it at most every 5 s: 5.6 KB/s."""

PRIOR_RUNS = 3.0
"""Weight at which a key counts as much as the wider keys and the estimate together."""

PRIOR_SLOPE = 0.5
"""How far an account's estimates are followed before anything is known of them."""

PRIOR_SPREAD = 1.0
"""Evidence for ``PRIOR_SLOPE``, as a sum of squared deviations of log estimates: about four
estimates that are off by a factor of 1.6."""

FIT_FADING = 1.0 / 256.0
"""Share by which an observation fades the earlier evidence on an account's estimates. Lower than
that of durations, because a job's tasks share one estimate."""

MAX_DEVIATION = math.log(10.0)
"""Largest deviation of an estimate, up or down, that is taken into account."""

MAX_CENTRE_STEP = math.log(2.0)
"""Largest deviation of an estimate by which a key's mean estimate moves."""

PRIOR_DEVIATIONS = (0.0, 0.9, 1.15, 1.63)
"""Log deviations of the quantiles from an estimate without any history: most callers' estimates are
off by 20 to 90%, the 90th percentile is at 2.5 times the estimate."""

SHARE_FADING = 1.0 / FADING_WEIGHT
"""Share by which an observation fades the earlier counts of the accounts of its queue. That of the
histograms: with slower counts the first runs of a new heavy account would replace all others."""

CALIBRATION_FADING = 1.0 / 1000.0
"""Share by which a run fades the earlier ones in the calibration."""

MAX_GENERATION_RUNS = 64
"""Most observations after which users of the model compute their expectations again."""

MIN_ROW_BYTES = 40
"""Size of the shortest row of a key; with less space left, no further key is encoded."""

VERSION = 1

_DECODE_ERRORS = (KeyError, IndexError, TypeError, AttributeError, OverflowError)


class WorkKey(NamedTuple):
    """What a task's duration depends on.

    :param step: Number of the step in its job.
    """

    queue: str
    image: str
    step: int
    account: str


class Expectation(NamedTuple):
    """Expected duration at the average speed of the target kinds; all 0 if nothing is known.

    :param weight: How much of it is learned: 0 for an estimate alone, near 1 for ample history.
    """

    p50_s: float
    p90_s: float
    p99_s: float
    weight: float
    p95_s: float


NO_EXPECTATION = Expectation(0.0, 0.0, 0.0, 0.0, 0.0)


class Calibration(NamedTuple):
    """How good the expectations were.

    :param runs: Number of finished runs that count; older ones fade.
    :param under_p50: Share of these runs that took less than their median when they started.
    :param failed: Number of failed runs, which do not count as durations.
    """

    runs: float
    under_p50: float
    under_p90: float
    under_p95: float
    failed: int


_Key = TypeVar("_Key", bound=Hashable)
_Value = TypeVar("_Value")


class _RecentEntries(Generic[_Key, _Value]):
    """A bounded mapping that drops the entry that was used least recently."""

    def __init__(self, make: Callable[[], _Value], max_count: int) -> None:
        self._make, self._max_count = make, max_count
        self._entries: OrderedDict[_Key, _Value] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: _Key) -> _Value | None:
        return self._entries.get(key)

    def use(self, key: _Key) -> _Value:
        """Returns the entry of a key, new if there is none, and marks it as used."""
        entry = self._entries.get(key)
        if entry is None:
            entry = self._make()
        self.put(key, entry)
        return entry

    def put(self, key: _Key, entry: _Value) -> None:
        self._entries[key] = entry
        self._entries.move_to_end(key)
        if len(self._entries) > self._max_count:
            self._entries.popitem(last=False)

    def newest_first(self) -> list[tuple[_Key, _Value]]:
        return list(reversed(self._entries.items()))


class _EstimateFit:
    """Regression of log durations on log estimates, both as deviations from those of a key."""

    __slots__ = ("spread", "product")

    def __init__(self, spread: float = 0.0, product: float = 0.0) -> None:
        self.spread, self.product = spread, product

    @property
    def slope(self) -> float:
        """How far a deviation of the estimate is followed, from 0 to 1."""
        slope = (self.product + PRIOR_SPREAD * PRIOR_SLOPE) / (self.spread + PRIOR_SPREAD)
        return min(1.0, max(0.0, slope))

    def add(self, estimate_deviation: float, deviation: float, weight: float) -> None:
        keep = 1.0 - weight * FIT_FADING
        bounded = _clamp(deviation, MAX_DEVIATION)
        self.spread = self.spread * keep + weight * estimate_deviation**2
        self.product = self.product * keep + weight * estimate_deviation * bounded


class _AccountFits:
    """Fits of one account: relative to its own work, and to all work of a queue.

    Estimates often tell long work from short work well, and say nothing about the rest.
    """

    __slots__ = ("narrow", "wide")

    def __init__(self) -> None:
        self.narrow, self.wide = _EstimateFit(), _EstimateFit()


class _KeyStats:
    """What is known of the work of one key.

    The histogram contains the durations as they would be for a task with the mean estimate.
    """

    __slots__ = ("histogram", "centre", "centre_weight")

    def __init__(self) -> None:
        self.histogram = LogHistogram()
        self.centre = 0.0
        """Mean logarithm of the estimates."""
        self.centre_weight = 0.0

    def estimate_deviation(self, log_estimate: float | None) -> float:
        """Returns how far an estimate is from the mean one; 0 if either is unknown."""
        if log_estimate is None or not self.centre_weight:
            return 0.0
        return _clamp(log_estimate - self.centre, MAX_DEVIATION)

    def add(self, log_s: float, log_estimate: float | None, slope: float, weight: float) -> None:
        deviation = self.estimate_deviation(log_estimate)
        self.histogram.add(log_s - slope * deviation, weight)
        if log_estimate is None:
            return
        if not self.centre_weight:
            self.centre = log_estimate
        self.centre_weight = min(self.centre_weight + weight, self.histogram.weight)
        step = _clamp(log_estimate - self.centre, MAX_CENTRE_STEP)
        self.centre += step * weight / max(self.centre_weight, weight)


class _AccountShares:
    """How many of a queue's recent observations are of each account.

    Counts grow by an increasing step instead of fading, so that an observation changes only one.
    """

    __slots__ = ("_counts", "_step")

    def __init__(self, counts: Mapping[str, float] | None = None) -> None:
        self._counts: dict[str, float] = dict(counts or {})
        self._step = 1.0

    @property
    def counts(self) -> dict[str, float]:
        """Number of recent observations by account; older ones have faded."""
        return {name: count / self._step for name, count in self._counts.items()}

    def weigh(self, account: str) -> float:
        """Counts an observation, and returns the weight it has for keys of all accounts.

        An account with more than its equal part of the observations counts as one with that part,
        so that its work does not stand for that of the others.
        """
        self._step /= 1.0 - SHARE_FADING
        if self._step > MAX_SHARE_STEP:
            self._counts, self._step = self.counts, 1.0
        counts = self._counts
        own = counts[account] = counts.get(account, 0.0) + self._step
        if len(counts) > MAX_SHARES:
            del counts[min(counts, key=counts.__getitem__)]
        active = [count for count in counts.values() if count >= self._step]
        return min(1.0, sum(active) / len(active) / own)


MAX_SHARE_STEP = 1e9
"""Step at which the counts are scaled down, long before the precision of a float is reached."""

MAX_SHARES = 64
"""Most accounts of a queue that are counted: each observation takes a step for each of them."""

StatsKey = tuple[str | int, ...]


class LearnedDurations:
    """Learns how long tasks take, by key, from the narrowest key to the queue as a whole."""

    def __init__(self) -> None:
        self._stats: _RecentEntries[StatsKey, _KeyStats] = _RecentEntries(_KeyStats, MAX_KEYS)
        self._fits: _RecentEntries[str, _AccountFits] = _RecentEntries(_AccountFits, MAX_ACCOUNTS)
        self._shares: _RecentEntries[str, _AccountShares] = _RecentEntries(
            _AccountShares, MAX_ACCOUNTS
        )
        self.kinds: dict[str, float] = {}
        """Logarithm of the relative duration of tasks by kind of target, at most ``MAX_KINDS``;
        recorded with the durations, which are relative to it."""
        self._observed = 0
        self._generation = 0
        self._renewed_at = 0
        self._failed = 0
        self._checked_runs = 0.0
        self._runs_under = [0.0] * 3

    def __len__(self) -> int:
        """Number of keys."""
        return len(self._stats)

    @property
    def observed(self) -> int:
        """Number of observations; larger after each change."""
        return self._observed

    @property
    def generation(self) -> int:
        """Changes after so many observations that expectations may have changed noticeably."""
        return self._generation

    def observe(
        self, key: WorkKey, took_s: float, slowness: float, estimate_s: float, weight: float = 1.0
    ) -> None:
        """Learns from a run that was done.

        :param slowness: How many times longer tasks take on the target's kind than on average.
        :param weight: At most 1; lower for runs that are not independent of each other.
        """
        log_s, log_estimate = _log(took_s / slowness), _log(estimate_s)
        if log_s is None:
            return
        fits = self._fits.use(key.account)
        shared_weight = weight * self._shares.use(key.queue).weigh(key.account)
        levels = _levels(key)
        self._fit(fits.wide, levels[0], log_s, log_estimate, weight)
        self._fit(fits.narrow, levels[-1], log_s, log_estimate, weight)
        for level in levels:
            level_weight = weight if level is levels[-1] else shared_weight
            slope = _slope(fits, level)
            self._stats.use(level).add(log_s, log_estimate, slope, level_weight)
        self._note_change()

    def observe_censored(
        self, key: WorkKey, at_least_s: float, slowness: float, weight: float = 1.0
    ) -> None:
        """Learns from a run that did not come to its end, and would have taken longer than this.

        Counts only for keys whose median it exceeds, as the median of the longer durations there.
        """
        log_s = _log(at_least_s / slowness)
        if log_s is None:
            return
        shares = self._shares.get(key.queue)
        shared_weight = weight if shares is None else weight * shares.weigh(key.account)
        levels = _levels(key)
        for level in levels:
            stats = self._stats.get(level)
            if stats is not None and log_s > stats.histogram.median:
                longer = stats.histogram.median_above(log_s)
                level_weight = weight if level is levels[-1] else shared_weight
                stats.histogram.add(max(log_s, longer), level_weight)
        self._note_change()

    def observe_failed(self) -> None:
        """Counts a failed run. Its duration says nothing about that of a run that is done."""
        self._failed += 1

    def expect(self, key: WorkKey, estimate_s: float) -> Expectation:
        """Returns the expected duration of a task.

        Begins with the estimate, and moves towards the statistics of each key, from the widest to
        the narrowest, in proportion to their weight.

        :param estimate_s: The caller's estimate; 0 if there is none.
        """
        log_estimate = _log(estimate_s)
        logs: list[float] | None = None
        if log_estimate is not None:
            logs = [log_estimate + each for each in PRIOR_DEVIATIONS]
        unknown = 1.0
        fits = self._fits.get(key.account) or _AccountFits()
        for level in _levels(key):
            stats = self._stats.get(level)
            if stats is None:
                continue
            shift = _slope(fits, level) * stats.estimate_deviation(log_estimate)
            found = [each + shift for each in stats.histogram.quantiles]
            share = stats.histogram.weight / (stats.histogram.weight + PRIOR_RUNS)
            unknown *= 1.0 - share
            if logs is None:
                logs = found
            else:
                logs = [old + share * (new - old) for old, new in zip(logs, found, strict=True)]
        if logs is None:
            return NO_EXPECTATION
        p50_s, p90_s, p95_s, p99_s = map(math.exp, logs)
        return Expectation(p50_s, p90_s, p99_s, 1.0 - unknown, p95_s)

    def check(self, expectation: Expectation, took_s: float) -> None:
        """Counts how a run's duration compares with what was expected when it started.

        :param took_s: Duration at the average speed of the target kinds.
        """
        keep = 1.0 - CALIBRATION_FADING
        self._checked_runs = self._checked_runs * keep + 1.0
        bounds = (expectation.p50_s, expectation.p90_s, expectation.p95_s)
        self._runs_under = [
            each * keep + (took_s < bound)
            for each, bound in zip(self._runs_under, bounds, strict=True)
        ]

    def calibration(self) -> Calibration:
        shares = [each / max(1.0, self._checked_runs) for each in self._runs_under]
        return Calibration(self._checked_runs, *shares, self._failed)

    def encode(self) -> bytes:
        """Encodes what fits into ``MAX_RECORD_BYTES``: the queues as a whole, then what was
        observed last."""
        left = MAX_RECORD_BYTES - 100
        parts: dict[str, list[str]] = {"kinds": [], "shares": [], "fits": [], "keys": []}

        def add(part: str, row: list) -> None:
            nonlocal left
            text = json.dumps(row, separators=(",", ":"))
            if len(text) < left:
                left -= len(text) + 1
                parts[part].append(text)

        for kind, log_duration in list(self.kinds.items())[:MAX_KINDS]:
            add("kinds", [kind, round(log_duration, 4)])
        entries = self._stats.newest_first()
        entries.sort(key=lambda each: not _is_whole_queue(each[0]))
        for queue, shares in self._shares.newest_first()[:MAX_RECORD_ACCOUNTS]:
            add("shares", [queue, {name: _round(count) for name, count in shares.counts.items()}])
        for account, fits in self._fits.newest_first()[:MAX_RECORD_ACCOUNTS]:
            values = (fits.narrow.spread, fits.narrow.product, fits.wide.spread, fits.wide.product)
            add("fits", [account, *map(_round, values)])
        for key, stats in entries:
            if left < MIN_ROW_BYTES:
                break
            first, weights = _to_list(stats.histogram.bins)
            if not weights:
                continue  # So little is known of the key that all its weights are rounded to 0.
            centre = [_round(stats.centre), _round(stats.centre_weight)]
            add("keys", [list(key), *centre, first, weights])
        fields = [f'"{name}":[{",".join(rows)}]' for name, rows in parts.items()]
        return f'{{"v":{VERSION},{",".join(fields)}}}'.encode()

    @classmethod
    def decode(cls, value: bytes) -> LearnedDurations:
        """Decodes an encoded model.

        :raises ValueError: The value is not an encoded model of this version.
        """
        try:
            data = load(value)
            if data["v"] != VERSION:
                raise ValueError(f"version {data['v']}")
            return cls._from_data(data)
        except _DECODE_ERRORS as error:
            raise ValueError(f"durations: {error!r}") from error

    @classmethod
    def _from_data(cls, data: dict[str, Any]) -> LearnedDurations:
        learned = cls()
        learned.kinds = {kind: _finite(each) for kind, each in data["kinds"][:MAX_KINDS]}
        for queue, counts in reversed(data["shares"]):
            known = {name: _weight(count) for name, count in list(counts.items())[:MAX_SHARES]}
            learned._shares.put(queue, _AccountShares(known))
        for account, *values in reversed(data["fits"]):
            narrow_spread, narrow_product, wide_spread, wide_product = map(_finite, values)
            fits = learned._fits.use(account)
            fits.narrow = _EstimateFit(abs(narrow_spread), narrow_product)
            fits.wide = _EstimateFit(abs(wide_spread), wide_product)
        for key, centre, centre_weight, first, weights in reversed(data["keys"]):
            stats = _KeyStats()
            stats.histogram = LogHistogram(
                {
                    int(first) + index: _weight(each) / WEIGHT_UNITS
                    for index, each in enumerate(weights)
                    if each
                }
            )
            if not stats.histogram.weight:
                raise ValueError(f"durations: no weight for {key}")
            stats.centre, stats.centre_weight = _finite(centre), _weight(centre_weight)
            learned._stats.put(_checked_key(key), stats)
        return learned

    def _fit(
        self,
        fit: _EstimateFit,
        level: StatsKey,
        log_s: float,
        log_estimate: float | None,
        weight: float,
    ) -> None:
        """Compares an estimate and a duration with those of earlier work of a key."""
        stats = self._stats.get(level)
        if stats is not None and log_estimate is not None:
            deviation = stats.estimate_deviation(log_estimate)
            fit.add(deviation, log_s - stats.histogram.median, weight)

    def _note_change(self) -> None:
        self._observed += 1
        since = self._observed - self._renewed_at
        if since >= min(MAX_GENERATION_RUNS, 1 + self._renewed_at // 16):
            self._generation += 1
            self._renewed_at = self._observed


MAX_RECORD_ACCOUNTS = 128
"""Most accounts, and most queues, in the encoded model."""


MAX_KINDS = 64
"""Most kinds of targets in the encoded model."""

WEIGHT_UNITS = 20
"""Parts of a run in which weights are encoded. Whole numbers take half the space of decimals."""


def _levels(key: WorkKey) -> tuple[StatsKey, ...]:
    """Returns the keys that a task counts for, the widest first."""
    queue, image, step, _ = key
    return (queue,), (queue, step), (queue, image), tuple(key)


def _is_whole_queue(level: StatsKey) -> bool:
    return len(level) == 1 or isinstance(level[1], int)


def _slope(fits: _AccountFits, level: StatsKey) -> float:
    return (fits.wide if _is_whole_queue(level) else fits.narrow).slope


def _log(seconds: float) -> float | None:
    """Returns the logarithm of a duration, at most that of a histogram's range; None if it is no
    positive finite number."""
    return min(math.log(seconds), MAX_LOG_S) if 0.0 < seconds < math.inf else None


def _clamp(value: float, bound: float) -> float:
    return min(bound, max(-bound, value))


def _to_list(bins: Mapping[int, float]) -> tuple[int, list[int]]:
    """Returns the first bin, and from there the weight of each in ``WEIGHT_UNITS``."""
    weights = {
        number: count for number, each in bins.items() if (count := round(each * WEIGHT_UNITS))
    }
    first = min(weights, default=0)
    return first, [weights.get(each, 0) for each in range(first, max(weights, default=-1) + 1)]


def _round(value: float) -> float:
    return round(value, 2)


def _checked_key(key: list) -> StatsKey:
    types = [type(part) for part in key]
    if types not in ([str], [str, str], [str, int], [str, str, int, str]):
        raise ValueError(f"durations: key {key}")
    return tuple(key)


def _finite(value: float) -> float:
    if not math.isfinite(value):
        raise ValueError(f"durations: {value}")
    return float(value)


def _weight(value: float) -> float:
    if not 0.0 <= _finite(value) <= 1e6:
        raise ValueError(f"durations: weight {value}")
    return float(value)
