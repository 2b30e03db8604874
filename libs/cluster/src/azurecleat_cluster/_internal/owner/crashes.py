"""Attributes crashes of targets to the tasks that were started there. No I/O, no clock.

A crash ends all runs on a target without a report, so the task that caused it looks like the tasks
beside it. Only what had just been started there is suspected; a suspected task is then started
isolated, so that the next crash tells it apart from its neighbours. A task that goes on crashing
its targets is given up; one that lasts is contained instead, as only its caller may end it. So is
one that could run on a single machine only: that machine may crash by itself.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from azurecleat_cluster._internal.owner.model import Run, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import capacity_for, may_run_on
from azurecleat_cluster._internal.replica.records import Crash

MIN_SURVIVAL_S = 0.1
"""Age of a run from which a report that shows it proves that its start did not crash the target."""

STABLE_S = 10.0
"""Age of a run from which the earlier crashes under its task no longer count."""

MIN_CONFIRMED_CRASHES = 2
"""Crashes of different targets that a task was suspected of, with runs that are known to have
begun, before it is given up: one alone may be a coincidence."""

MAX_CRASHES = 4
"""Crashes that a task was suspected of after which it is given up even if others were as well."""

MAX_EXPOSURES = 5
"""Crashes under a task after which it is given up, suspected or not. It may crash its targets so
late that each time others were suspected, or its starts may get no answer."""

STRICT_EXPOSURES = 3
"""Crashes under a task from which it stays isolated until its run ends."""

LASTING_ISOLATION_S = 2.0
"""The same for a lasting task, in time at work: it is never given up, and other jobs, which must
not wait for three seconds, may have no other target with their label."""

FIRST_PAUSE_S = 0.5
"""How long a lasting task waits after the second crash under it; twice as long after each further
one."""

MAX_PAUSE_S = 2.0
"""Longest such wait: a lasting task has to run again within three seconds, and it takes up to half
a second until a crash is noticed."""

MAX_ISOLATED_SHARE = 0.5
"""Share of the targets that may be isolated at one time; the others accept all tasks."""

COINCIDENCE_S = 1.0
"""Time within which a crash without a suspect casts doubt on those of other targets: a rack or a
network may have failed, whatever was being started there."""

MAX_CLEAR_WAIT_S = 1.0
"""How long a suspected task waits for a target on which nothing else is being started."""

MAX_LISTED_TASKS = 5
"""Most tasks named in the log line of a crash."""


class Suspicion(NamedTuple):
    """The runs that may have caused a crash.

    :param runs: Runs that are suspected; empty if nothing ran on the target.
    :param only: The run for which the target was isolated, else the only one that had just been
        started there; None if there were several or none.
    """

    runs: frozenset[Run]
    only: Run | None


def has_survived(run: Run, now: float) -> bool:
    """Whether a report received now that shows the run proves that it survived its start."""
    return bool(run.began_at) and now - run.began_at >= MIN_SURVIVAL_S


def runs_being_started(runs: Iterable[Run]) -> list[Run]:
    """Returns the runs that no report has shown to have survived their start."""
    return [run for run in runs if not run.has_survived_start]


def suspect_runs(runs: Iterable[Run], isolated: Run | None) -> Suspicion:
    """Chooses the suspects among the runs that were on a target when it crashed.

    Without a run that was being started, all of them are: one may crash its target later.

    :param isolated: The run for which the target was isolated, if it still was.
    """
    runs = tuple(runs)
    if isolated is not None and isolated in runs:
        return Suspicion(frozenset((isolated,)), isolated)
    starting = runs_being_started(runs)
    begun = [run for run in starting if run.began_at]
    single = begun or starting
    return Suspicion(frozenset(starting or runs), single[0] if len(single) == 1 else None)


def needs_strict_isolation(crashes: Collection[Crash]) -> bool:
    """Whether a task stays isolated although it has survived its start."""
    return len(crashes) >= STRICT_EXPOSURES


def is_crash_loop(crashes: Collection[Crash], is_clear: bool) -> bool:
    """Whether a task is to be given up after these crashes.

    :param is_clear: Whether the task was the only suspect of the last one, and no target crashed
        without a suspect at that time.
    """
    suspected = [crash for crash in crashes if crash.is_suspected]
    confirmed = [crash for crash in suspected if crash.has_begun]
    if is_clear and needs_strict_isolation(crashes):
        confirmed = [crash for crash in crashes if crash.has_begun]
    addresses = {crash.address for crash in confirmed}
    return (
        (is_clear and len(addresses) >= MIN_CONFIRMED_CRASHES)
        or (len(suspected) >= MAX_CRASHES and len(confirmed) >= MIN_CONFIRMED_CRASHES)
        or len(crashes) >= MAX_EXPOSURES
    )


def is_one_machine(crashes: Collection[Crash]) -> bool:
    """Whether all crashes are of incarnations of one target."""
    return len({crash.address for crash in crashes}) <= 1


def pause_s(crashes: Collection[Crash]) -> float:
    """Returns how long a contained task waits after the last of these crashes."""
    if len(crashes) < MIN_CONFIRMED_CRASHES:
        return 0.0
    return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (len(crashes) - MIN_CONFIRMED_CRASHES))


def _is_paused(step: StepInfo, index: int, now: float) -> bool:
    """Whether a task still waits after the last crash under it.

    A new owner does not know when that was.
    """
    crashes = step.crash_history.of(index)
    is_contained = len(crashes) >= MAX_CRASHES and is_one_machine(crashes)
    if not step.spec.long_running and not is_contained:
        return False
    returned_at = step.returned_at.get(index, float("-inf"))
    return now - returned_at < pause_s(crashes)


def _isolation_order(
    target: TargetInfo, crashed_addresses: Collection[str], is_contained: bool
) -> tuple:
    """Returns the order in which targets are chosen for a suspected task.

    :param is_contained: Whether the task goes on crashing targets: it had better crash one that it
        has crashed before than one with other runs.
    """
    has_crashed = target.entry.address in crashed_addresses
    has_runs = is_contained and bool(target.runs)
    return has_runs, has_crashed, len(target.runs), target.id


def place_isolated(
    step: StepInfo,
    indices: Sequence[int],
    targets: Iterable[TargetInfo],
    max_count: int,
    now: float,
) -> list[tuple[int, TargetInfo]]:
    """Chooses a target of its own for each suspected task of a step that does not pause.

    The targets with the fewest runs come first, as a crash would end these runs, and those that
    have crashed under the task come last; a lasting task under which several have crashed rather
    goes to one of these than beside other runs. Where nothing else is being started, a crash has
    one suspect; if no such target comes free, any other is better than waiting.

    :param max_count: Number of targets that may still be isolated.
    :returns: Pairs of a task index and its target.
    """
    usable = [
        target for target in targets if may_run_on(step, target, now) and capacity_for(step, target)
    ]
    free = [target for target in usable if not runs_being_started(target.runs.values())]
    if not free and now - step.crash_history.last_at >= MAX_CLEAR_WAIT_S:
        free = usable
    chosen: list[tuple[int, TargetInfo]] = []
    for index in indices:
        if not free or len(chosen) >= max_count:
            break
        if _is_paused(step, index, now):
            continue
        crashes = step.crash_history.of(index)
        addresses = {crash.address for crash in crashes}
        is_contained = step.spec.long_running and needs_strict_isolation(crashes)
        best = min(free, key=lambda each: _isolation_order(each, addresses, is_contained))
        free.remove(best)
        chosen.append((index, best))
    return chosen


def describe_tasks(runs: Sequence[Run]) -> str:
    """Names the tasks of some runs for the log."""
    names = [str(run.task) for run in runs[:MAX_LISTED_TASKS]]
    return ",".join(names + ["..."] if len(runs) > MAX_LISTED_TASKS else names)
