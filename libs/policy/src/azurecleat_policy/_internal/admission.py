"""Checks for jobs that can never run; the refusal names the constraint."""

from __future__ import annotations

from azurecleat_model import Job, Quota, task_quota

from azurecleat_policy._internal.reservation import tasks_that_fit
from azurecleat_policy._internal.types import Refused
from azurecleat_policy._internal.workers import Worker


def check_fits_limit(job: Job, gang_size: int, limit: Quota) -> Refused | None:
    """Refuses a job if ``gang_size`` of its tasks alone exceed the team's limit.

    :param gang_size: Number of tasks that have to run at the same time.
    """
    need = task_quota(job.resources, gang_size)
    for name, wanted, allowed in zip(Quota._fields, need, limit, strict=True):
        if wanted > allowed:
            detail = f"needs {wanted} {name} at one time, the team's limit is {allowed}"
            return Refused("never-fits-limit", detail)
    return None


def check_fits_workers(job: Job, gang_size: int, workers: list[Worker]) -> Refused | None:
    """Refuses a job that would not fit into the fleet even if all workers were idle."""
    if not workers:
        return Refused("no-workers", "no worker is known yet", retry_after_s=1.0)
    fitting = 0
    for worker in workers:
        fitting += tasks_that_fit(job.resources, worker.policy.capacity)
        if fitting >= gang_size:
            return None
    if fitting > 0:
        detail = f"{gang_size} tasks at one time, the whole fleet has places for {fitting}"
        return Refused("never-fits-fleet", detail)
    return Refused("never-fits-worker", _binding_dimension(job, workers))


def _binding_dimension(job: Job, workers: list[Worker]) -> str:
    largest = [max(w.policy.capacity[i] for w in workers) for i in range(len(job.resources))]
    for name, wanted, largest_amount in zip(
        job.resources._fields, job.resources, largest, strict=True
    ):
        if wanted > largest_amount:
            return f"needs {wanted} {name}, the largest worker has {largest_amount}"
    return "no single worker has enough of every resource"
