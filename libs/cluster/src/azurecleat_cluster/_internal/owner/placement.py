"""Chooses targets for tasks. Pure decisions: no I/O, no clock of its own."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from azurecleat_base import Resources

from azurecleat_cluster._internal.owner.work import StepWork, TargetWork
from azurecleat_cluster._internal.values import TargetState

UNLISTED_GRACE_S = 3.0
"""How long a target without an entry may get work: entries that lapsed while the log was away
are back two seconds after its return."""


class Preferences(NamedTuple):
    """Costs that weigh targets against each other, in parts of a task's run time."""

    far_factor: float = 2.0
    """How much longer a task takes away from its data or its rack."""


def is_usable(target: TargetWork, now: float) -> bool:
    """Whether a target may be given work at all."""
    return (
        target.answering
        and target.reached
        and target.entry.state is TargetState.READY
        and target.suspect_until <= now
        and (target.listed or now - target.unlisted_at < UNLISTED_GRACE_S)
    )


def allows(step: StepWork, target: TargetWork, now: float) -> bool:
    """Whether a step's rules let it run on a target, room aside."""
    spec = step.spec
    if spec.required_label and spec.required_label not in target.entry.labels:
        return False
    if step.job.queue.advice is None:
        return True
    advice = step.advice
    return advice is not None and now < advice.valid_until and target.id in advice.tickets


def fits(room: Resources, target: TargetWork) -> bool:
    used, capacity = target.used, target.entry.capacity
    return (
        used.cpu_milli + room.cpu_milli <= capacity.cpu_milli
        and used.memory_mb + room.memory_mb <= capacity.memory_mb
        and used.accelerators + room.accelerators <= capacity.accelerators
    )


def on_target(step: StepWork, target: TargetWork) -> int:
    """Counts the runs of a step on a target, those that are being stopped included."""
    return sum(run.step is step for run in target.runs.values())


def cost(step: StepWork, target: TargetWork, preferences: Preferences) -> tuple:
    """Orders targets for a task: the lowest is best."""
    spec = step.spec
    far = 0.0
    if spec.data_rack and spec.data_rack != target.entry.rack:
        far = preferences.far_factor - 1.0
    capacity = target.entry.capacity
    if spec.fills:
        # Filling tasks go where the fewest serve and the most processor time is idle.
        serving = filling = 0
        for run in target.runs.values():
            serving += run.step.spec.long_running
            filling += run.step.spec.need.cpu_milli if run.step.spec.fills else 0
        return far, serving, (target.used.cpu_milli + filling) / max(1, capacity.cpu_milli)
    filling = sum(run.step.spec.fills for run in target.runs.values())
    crowd = filling if spec.long_running else 0
    return far, crowd, target.used.cpu_milli / max(1, capacity.cpu_milli)


def choose(
    step: StepWork,
    index: int,
    targets: Iterable[TargetWork],
    now: float,
    preferences: Preferences,
) -> TargetWork | None:
    """Returns the best target for one task, None if there is none with room."""
    room = step.spec.room
    avoided = step.avoid.get(index, frozenset())
    candidates = [
        target
        for target in targets
        if fits(room, target) and allows(step, target, now) and _spreads(step, target)
    ]
    if avoided:
        candidates = [target for target in candidates if target.id not in avoided] or candidates
    if not candidates:
        return None
    return min(candidates, key=lambda target: cost(step, target, preferences))


def choose_gang(
    step: StepWork, targets: Sequence[TargetWork], now: float, preferences: Preferences
) -> list[TargetWork] | None:
    """Returns a target for each task of a gang, or None unless all have room."""
    allowed = [target for target in targets if allows(step, target, now)]
    racks = sorted({target.entry.rack for target in allowed})
    if step.spec.same_rack:
        for rack in sorted(racks, key=lambda rack: rack != step.spec.data_rack):
            members = [target for target in allowed if target.entry.rack == rack]
            if placed := _pack(step, members, preferences):
                return placed
    return _pack(step, allowed, preferences)


def _pack(
    step: StepWork, targets: Sequence[TargetWork], preferences: Preferences
) -> list[TargetWork] | None:
    room, bound = step.spec.room, step.spec.max_per_target
    chosen: list[TargetWork] = []
    for target in sorted(targets, key=lambda target: cost(step, target, preferences)):
        count = step.spec.count - len(chosen)
        if bound:
            count = min(count, bound - on_target(step, target))
        for need, free in zip(room, target.free, strict=True):
            if need:
                count = min(count, free // need)
        chosen.extend([target] * max(0, count))
        if len(chosen) == step.spec.count:
            return chosen
    return None


def _spreads(step: StepWork, target: TargetWork) -> bool:
    bound = step.spec.max_per_target
    return not bound or on_target(step, target) < bound
