"""Chooses targets for tasks. No I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

from azurecleat_cluster._internal.objectives import MAX_LATE_OBJECTIVES
from azurecleat_cluster._internal.owner.assignment import Room, assign, assign_anywhere
from azurecleat_cluster._internal.owner.model import JobInfo, StepInfo, TargetInfo
from azurecleat_cluster._internal.values import TargetState

UNREGISTERED_GRACE_S = 3.0
"""How long a target without a registry entry still gets tasks: entries that lapsed while the log
was unavailable are back two seconds after its return."""


IGNORE_EXPIRY = float("-inf")
"""Time to pass as ``now`` to place a step on allowed targets whose tickets have expired."""


class Preferences:
    """What the scheduler prefers among the targets that can run a task.

    :param far_factor: How many times longer a task takes away from its data or its rack.
    """

    def __init__(self, far_factor: float = 2.0) -> None:
        self.far_factor = far_factor
        self._log_durations: dict[str, float] = {}

    @property
    def log_durations(self) -> dict[str, float]:
        """Logarithm of the relative duration of tasks by kind of target."""
        return dict(self._log_durations)

    def restore(self, log_durations: Mapping[str, float]) -> None:
        """Continues with what another owner has learned, if nothing has been learned here."""
        if not self._log_durations:
            self._log_durations.update(log_durations)

    def slowness(self, kind: str) -> float:
        """Returns how many times longer tasks take on a kind of target than on the fastest kind."""
        if kind not in self._log_durations:
            return 1.0
        return math.exp(self._log_durations[kind] - min(self._log_durations.values()))

    def relative_slowness(self, kind: str) -> float:
        """Returns how many times longer tasks take on a kind than on average of all kinds known.

        The average is the geometric mean, so that it does not depend on the kind it is compared to.
        """
        if kind not in self._log_durations:
            return 1.0
        return math.exp(self._log_durations[kind] - self._mean_log_duration())

    def fastest_slowness(self) -> float:
        """Returns the slowness of the fastest kind relative to the average."""
        if not self._log_durations:
            return 1.0
        return math.exp(min(self._log_durations.values()) - self._mean_log_duration())

    def _mean_log_duration(self) -> float:
        return sum(self._log_durations.values()) / len(self._log_durations)

    def add_durations(
        self, durations: Sequence[tuple[str, float]], is_balanced: bool = False
    ) -> None:
        """Learns from the durations of one step's tasks, which do similar work.

        :param durations: Kind of target and seconds of each task.
        :param is_balanced: Whether the known slowness of the kinds is left out of the mean of the
            tasks. Without it the kind that runs most of a step's tasks appears closer to average.
        """
        if len(durations) < MIN_DURATIONS or len({kind for kind, _ in durations}) < 2:
            return
        logs = [(kind, math.log(max(took_s, MIN_DURATION_S))) for kind, took_s in durations]
        mean = sum(value for _, value in logs) / len(logs)
        if is_balanced:
            mean -= sum(self._log_durations.get(kind, 0.0) for kind, _ in logs) / len(logs)
        for kind, value in logs:
            known = self._log_durations.get(kind, value - mean)
            self._log_durations[kind] = known + SMOOTHING * (value - mean - known)


MIN_DURATIONS = 3
MIN_DURATION_S = 0.02
SMOOTHING = 0.02
"""Weight of one duration. Low, because tasks of a step differ as much as kinds of targets do: by a
third."""

MAX_STRETCH_SHARE = 0.75
"""Share of a queue's stretch that a target's slowness may use up."""

MAX_LEFT_SHARE = 0.85
"""Share of a job's remaining time that its tasks may use up on a slow kind.

The rest is for commands and reports. In simulations of an urgent and a wide queue, 0.751 of the
urgent jobs were on time with it, and 0.734 with 1.0.
"""


def is_available(target: TargetInfo, now: float) -> bool:
    """Whether a target can be given tasks, however sound it is."""
    return (
        target.responsive
        and target.reached
        and target.entry.state is TargetState.READY
        and not target.is_evacuated
        and target.refused_until <= now
        and (target.registered or now - target.unregistered_at < UNREGISTERED_GRACE_S)
    )


def is_usable(target: TargetInfo, now: float) -> bool:
    """Whether a target may be given tasks of any step."""
    return is_available(target, now) and not is_kept_back(target, now)


def is_kept_back(target: TargetInfo, now: float) -> bool:
    """Whether a target is suspect, or on probation with a run that is to show whether it is sound.

    Such a target is the last resort of steps that have waited for long.
    """
    return target.suspect_until > now or bool(target.probes)


def has_label(step: StepInfo, target: TargetInfo) -> bool:
    label = step.spec.required_label
    return not label or label in target.entry.labels


def may_run_on(step: StepInfo, target: TargetInfo, now: float) -> bool:
    """Whether a step's label and advice allow it to run on a target; ignores capacity."""
    if not has_label(step, target):
        return False
    return step.job.queue.advice is None or step.advice.is_valid(target.id, now)


def count_runs(step: StepInfo, target: TargetInfo) -> int:
    """Returns the number of runs of a step on a target, including those being stopped."""
    return sum(run.step is step for run in target.runs.values())


def max_starts(step: StepInfo, target: TargetInfo) -> int:
    """Returns how many more tasks of a step a target may start if its capacity allows it.

    On probation that is one task. The tasks of a gang start together or not at all, so that they
    count as one.
    """
    if target.probes:
        return 0
    count = step.spec.count
    if step.spec.max_per_target:
        count = step.spec.max_per_target - count_runs(step, target)
    if target.on_probation and not step.spec.gang:
        count = min(count, 1)
    return max(0, count)


def capacity_for(step: StepInfo, target: TargetInfo) -> int:
    """Returns how many more tasks of a step a target may start and has capacity for."""
    count = max_starts(step, target)
    for need, free in zip(step.spec.allocation, target.free, strict=True):
        if need:
            count = min(count, free // need)
    return max(0, count)


def place(
    step: StepInfo,
    indices: Sequence[int],
    targets: Iterable[TargetInfo],
    now: float,
    preferences: Preferences,
) -> list[tuple[int, TargetInfo]]:
    """Chooses targets for the tasks of a step, as far as there is capacity.

    Tasks of a job are placed together: in one zone if it has enough capacity, and there on few
    targets. A failed target or zone then affects few jobs. If tasks were spread evenly, it would
    affect nearly every job.

    :returns: Pairs of a task index and its target.
    """
    candidates = _candidates(step, targets, now)
    rooms = _rooms(step, candidates, len(indices), preferences)
    assigned = assign(indices, rooms, step.avoided)
    # Running on a target that a task avoids is better than not running.
    avoids_all = [
        index
        for index in indices
        if index not in assigned and step.avoided.get(index, set()).issuperset(candidates)
    ]
    assign_anywhere(avoids_all, rooms, assigned)
    return [(index, candidates[target][0]) for index, target in assigned.items()]


def _candidates(
    step: StepInfo, targets: Iterable[TargetInfo], now: float
) -> dict[str, tuple[TargetInfo, int]]:
    return {
        target.id: (target, count)
        for target in targets
        if may_run_on(step, target, now) and (count := capacity_for(step, target))
    }


def _rooms(
    step: StepInfo,
    candidates: dict[str, tuple[TargetInfo, int]],
    wanted: int,
    preferences: Preferences,
) -> list[Room]:
    ranked = rank_targets(step, list(candidates.values()), wanted, preferences)
    return [Room(target.id, count) for target, count in ranked]


def place_gang(
    step: StepInfo, targets: Iterable[TargetInfo], now: float, preferences: Preferences
) -> list[tuple[int, TargetInfo]]:
    """Chooses targets for all tasks of a gang, or none.

    Targets that its tasks avoid are used only if the gang would not fit otherwise.
    """
    targets = list(targets)
    for groups in (_by_rack(step, targets), [targets]):
        last_resort: list[tuple[int, TargetInfo]] = []
        for members in groups:
            whole = _place_whole(step, members, now, preferences)
            if whole and not any(
                target.id in step.avoided.get(index, ()) for index, target in whole
            ):
                return whole
            last_resort = last_resort or whole
        if last_resort:
            return last_resort
    return []


def _by_rack(step: StepInfo, targets: list[TargetInfo]) -> list[list[TargetInfo]]:
    """Returns the targets of each rack for a gang that has to stay in one, that of its data first.

    Returns no group for any other gang.
    """
    if not step.spec.same_rack:
        return []
    racks: dict[str, list[TargetInfo]] = {}
    for target in targets:
        racks.setdefault(target.entry.rack, []).append(target)
    return [
        racks[rack] for rack in sorted(racks, key=lambda rack: (rack != step.spec.data_rack, rack))
    ]


def _place_whole(
    step: StepInfo, targets: Iterable[TargetInfo], now: float, preferences: Preferences
) -> list[tuple[int, TargetInfo]]:
    """Chooses targets for all tasks of a gang, or none if they have too little capacity.

    As few tasks as possible get a target that they avoid.
    """
    candidates = _candidates(step, targets, now)
    if sum(count for _, count in candidates.values()) < step.spec.count:
        return []
    indices = range(step.spec.count)
    rooms = _rooms(step, candidates, step.spec.count, preferences)
    assigned = assign(indices, rooms, step.avoided)
    assign_anywhere([index for index in indices if index not in assigned], rooms, assigned)
    return [(index, candidates[target][0]) for index, target in assigned.items()]


Candidate = tuple[TargetInfo, int]


def rank_targets(
    step: StepInfo, candidates: list[Candidate], wanted: int, preferences: Preferences
) -> list[Candidate]:
    """Orders targets for the tasks of one step, best first.

    Targets on probation come after the others, so that few tasks run on one that is still faulty.
    """
    if step.spec.fills:
        return sorted(candidates, key=lambda each: _filling_cost(each[0]))
    kind_costs: dict[str, tuple] = {}
    groups: dict[str, tuple[tuple, str]] = {}
    capacity_by_group: dict[tuple[tuple, str], int] = {}
    for target, count in candidates:
        kind = target.entry.kind
        if kind not in kind_costs:
            kind_costs[kind] = _kind_cost(step, kind, preferences)
        group = groups[target.id] = (kind_costs[kind], target.entry.zone)
        capacity_by_group[group] = capacity_by_group.get(group, 0) + count
    occupied_zones = _occupied_zones(step.job, {zone for _, zone in capacity_by_group})

    def group_cost(group: tuple[tuple, str]) -> tuple:
        return (
            group[0],
            capacity_by_group[group] < wanted,
            group[1] not in occupied_zones,
            -capacity_by_group[group],
            group[1],
        )

    rank = {group: number for number, group in enumerate(sorted(capacity_by_group, key=group_cost))}

    def cost(each: Candidate) -> tuple:
        target, count = each
        is_far = bool(step.spec.data_rack) and step.spec.data_rack != target.entry.rack
        fits_all = count >= wanted
        # Among targets that fit all tasks the fullest comes first, else the one that fits most.
        return (
            is_far,
            target.on_probation,
            rank[groups[target.id]],
            not fits_all,
            target.free.cpu_milli if fits_all else -count,
        )

    return sorted(candidates, key=cost)


def _occupied_zones(job: JobInfo, zones: set[str]) -> set[str]:
    """Returns those of some zones in which a job has runs."""
    occupied: set[str] = set()
    for step in job.steps.values():
        occupied.update(run.target.entry.zone for run in step.active.values())
        if zones <= occupied:  # Jobs may have thousands of steps.
            break
    return occupied & zones


def _kind_cost(step: StepInfo, kind: str, preferences: Preferences) -> tuple:
    """Prefers the slowest kind that is fast enough, so that faster ones stay free."""
    slowness = round(preferences.slowness(kind), 1)
    if step.job.durations is not None and step.job.queue.objective_ms:
        is_fast_enough = _fits_objective(step, kind, preferences)
    else:
        is_fast_enough = slowness <= max(1.0, MAX_STRETCH_SHARE * step.job.queue.stretch)
    return not is_fast_enough, -slowness if is_fast_enough else slowness


def _fits_objective(step: StepInfo, kind: str, preferences: Preferences) -> bool:
    """Whether a step can run on a kind of target without making its job late.

    Each step has the part of the remaining time that it is of the job's remaining work. The 90th
    percentile counts, because a step takes as long as its longest task. A job that cannot be on
    time even on the fastest kind does not compete for it with those that can: it has until
    ``MAX_LATE_OBJECTIVES``, when it loses its remaining value.
    """
    job, chain_s = step.job, step.job.expected_chain_s
    age_s = max(0.0, step.considered_at - job.seen_at)
    left_s = job.objective_s - age_s
    if preferences.fastest_slowness() * chain_s * MAX_STRETCH_SHARE > left_s:
        left_s = MAX_LATE_OBJECTIVES * job.objective_s - age_s
    needed_s = preferences.relative_slowness(kind) * step.expected_p90_s
    return left_s <= 0.0 or needed_s * chain_s <= MAX_LEFT_SHARE * left_s * step.expected_s


def _filling_cost(target: TargetInfo) -> tuple:
    """Prefers targets that are not on probation, then those with the fewest serving tasks, then
    those with the most idle processor."""
    serving = filling = 0
    for run in target.runs.values():
        serving += run.step.spec.long_running
        filling += run.step.spec.need.cpu_milli if run.step.spec.fills else 0
    load = (target.used.cpu_milli + filling) / max(1, target.entry.capacity.cpu_milli)
    return target.on_probation, serving, load
