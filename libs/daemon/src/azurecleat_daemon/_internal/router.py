"""Routing of work: to the local owner of its partition, or in one hop to a remote one."""

from __future__ import annotations

import hashlib
import json
import threading
from collections.abc import Callable
from typing import Any

from azurecleat_coordination import (
    Appender,
    AppendOutcome,
    ApplyResult,
    Replica,
    rank_candidates,
)
from azurecleat_coordination.records import AcceptJob, CancelJob
from azurecleat_model import Clock, ExecutionStatus, Job, JobSpec, RequestSpec, to_plain, validate
from azurecleat_model.exceptions import (
    AppendUnknownError,
    DocumentError,
    LogError,
    PeerAnswerLostError,
    PeerError,
)
from azurecleat_peers import PeerNetwork
from azurecleat_peers.messages import (
    Acknowledged,
    LimitRequest,
    Message,
    Operation,
    OperationAnswer,
    RefusalAnswer,
    RunAnswer,
    RunRequest,
)
from pydantic import TypeAdapter

from azurecleat_daemon._internal.limits import Shortage
from azurecleat_daemon._internal.membership import Membership
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.partition_owner import PartitionOwner
from azurecleat_daemon._internal.partitions import PartitionManager
from azurecleat_daemon._internal.refusal import RefusalError, status_for
from azurecleat_daemon._internal.settings import EntrySettings

OPERATION_TIMEOUT_S = 10.0
ACCEPT_DEADLINE_S = 5.0
ANSWER_GRACE_S = 0.5
"""Time after the request's deadline within which the peer's refusal may still arrive."""

ANY_TEAM = "*"
"""Team of an operator's operations, which may access all jobs. No team can have this name."""

_JOB_SPEC = TypeAdapter(JobSpec)


class Router:
    """Routes callers' work to the owner of its partition."""

    def __init__(
        self,
        settings: EntrySettings,
        replica: Replica,
        appender: Appender,
        partitions: PartitionManager,
        membership: Membership,
        network: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
        new_id: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._replica = replica
        self._appender = appender
        self._partitions = partitions
        self._membership = membership
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._new_id = new_id
        self._lock = threading.Lock()
        self._unknown_appends: dict[tuple[str, str], int] = {}

    def run(self, spec: RequestSpec) -> bytes:
        """Runs a request in this zone, or in another one if no owner serves this zone.

        :raises RefusalError: The request was not served; ``ran`` says whether it was run.
        """
        refusal: RefusalError | None = None
        for partition in self._partitions_nearest_first():
            try:
                return self._run_in(partition, spec)
            except RefusalError as error:
                if error.code not in ("not-owner", "no-owner", "peer-unreachable"):
                    raise
                self._metrics.retries.labels("route", error.code).inc()
                refusal = error
        raise refusal or _no_owner(self._settings.partitions[0])

    def submit(self, team: str, body: Any, key: str = "") -> dict[str, Any]:
        """Accepts a job, only one per team and idempotency key if a key is given.

        :raises RefusalError: The job was not accepted.
        """
        self.check_spec(body)
        known = sorted(self._known_partitions())
        if key:
            partition = rank_candidates(f"{team}/{key}", known)[0] if known else ""
            digest = hashlib.blake2b(f"{team}/{key}".encode(), digest_size=10).hexdigest()
            job_id = f"{partition}-{digest}"
        else:
            partition = next(iter(self._partitions_nearest_first()), "")
            job_id = f"{partition}-{self._new_id()[:20]}"
        return self._run_operation(partition, "submit", team, job_id, json.dumps(body))

    def cancel(self, team: str, job_id: str) -> dict[str, Any]:
        """Cancels a job."""
        return self._run_operation(self._partition_of(job_id), "cancel", team, job_id, "")

    def job(self, team: str, job_id: str) -> dict[str, Any]:
        """Returns the state of a job."""
        return self._run_operation(self._partition_of(job_id), "job", team, job_id, "")

    def why(self, team: str, job_id: str) -> dict[str, Any]:
        """Returns the state of a job and what it waits for."""
        return self._run_operation(self._partition_of(job_id), "why", team, job_id, "")

    def check_spec(self, body: Any) -> JobSpec:
        """Validates a job's specification.

        :raises RefusalError: The specification is not valid; the error names the field.
        """
        try:
            return validate(_JOB_SPEC, body, "job")
        except DocumentError as error:
            raise RefusalError("bad-request", str(error), status=400, step="job.check") from None

    def handle(self, message: Message) -> Message | None:
        """Serves a message forwarded by a peer; it is never forwarded again.

        :return: The answer, or None if the message is not forwarded work.
        """
        try:
            match message:
                case RunRequest():
                    return self._handle_run(message)
                case Operation():
                    return self._handle_operation(message)
                case LimitRequest():
                    return self._handle_limit_request(message)
                case _:
                    return None
        except RefusalError as refusal:
            retry_after_s = refusal.retry_after_s
            return RefusalAnswer(
                refusal.code,
                refusal.detail,
                refusal.ran.value,
                -1.0 if retry_after_s is None else retry_after_s,
            )

    def borrow_limits(self) -> None:
        """Requests allotments that waiting work lacks here from other partitions."""
        for partition, local_owner in self._partitions.local_owners.items():
            for team, shortage in local_owner.limits.shortages().items():
                self._borrow(partition, team, shortage)

    # Requests.

    def _run_in(self, partition: str, spec: RequestSpec) -> bytes:
        local_owner = self._partitions.local_owner(partition)
        if local_owner is not None:
            local_owner.ensure_team(spec.team)
            return local_owner.requests.serve(spec)
        address = self._owner_address(partition)
        message = RunRequest(
            partition,
            self._new_id(),
            spec.team,
            spec.body,
            spec.deadline_s,
            spec.repeatable,
            spec.idempotency_key,
        )
        answer = self._forward(address, message, spec.deadline_s + ANSWER_GRACE_S)
        if isinstance(answer, RunAnswer):
            return answer.body
        raise _refusal_from(answer, address)

    def _handle_run(self, message: RunRequest) -> Message:
        local_owner = self._require_local_owner(message.partition)
        spec = RequestSpec(
            message.team,
            message.body,
            message.deadline_s,
            message.repeatable,
            message.idempotency_key,
        )
        local_owner.ensure_team(message.team)
        return RunAnswer(local_owner.requests.serve(spec))

    def _forward(self, address: str, message: Message, timeout_s: float) -> Message:
        try:
            return self._network.call(address, message, timeout_s)
        except PeerAnswerLostError as error:
            raise RefusalError(
                "outcome-unknown",
                f"the owner's answer was lost: {error}",
                ran=ExecutionStatus.UNKNOWN,
                status=status_for("outcome-unknown"),
                step=error.step,
                peer=error.peer,
            ) from error
        except PeerError as error:
            raise RefusalError(
                "peer-unreachable", str(error), retry_after_s=1.0, step=error.step, peer=error.peer
            ) from error

    # Jobs.

    def _run_operation(
        self, partition: str, name: str, team: str, subject: str, body: str
    ) -> dict[str, Any]:
        if not partition:
            raise _no_owner(partition)
        operation = Operation(partition, name, team, subject, body)
        local_owner = self._partitions.local_owner(partition)
        if local_owner is not None:
            return self._perform(local_owner, operation)
        answer = self._forward(self._owner_address(partition), operation, OPERATION_TIMEOUT_S)
        if isinstance(answer, OperationAnswer):
            return json.loads(answer.body)
        raise _refusal_from(answer, partition)

    def _handle_operation(self, message: Operation) -> Message:
        local_owner = self._require_local_owner(message.partition)
        return OperationAnswer(json.dumps(self._perform(local_owner, message)))

    def _perform(self, local_owner: PartitionOwner, operation: Operation) -> dict[str, Any]:
        match operation.name:
            case "submit":
                return self._accept_job(local_owner, operation)
            case "cancel":
                return self._cancel_job(operation)
            case "job":
                return self._job_summary(operation)
            case "why":
                return self._explain(local_owner, operation)
            case name:
                raise RefusalError("bad-request", f"no operation {name!r}", status=400)

    def _accept_job(self, local_owner: PartitionOwner, operation: Operation) -> dict[str, Any]:
        spec = self.check_spec(json.loads(operation.body))
        job = Job(operation.subject, operation.team, spec, self._clock.wall())
        local_owner.ensure_team(operation.team)
        known = self._find_job(operation)
        if known is not None:
            return known
        refused = local_owner.tasks.check(job)
        if refused is not None:
            self._check_decided(operation)
            raise RefusalError(
                refused.code,
                refused.detail,
                status=status_for(refused.code),
                retry_after_s=refused.retry_after_s,
                step="job.accept",
            )
        self._commit(operation, AcceptJob(operation.partition, job))
        return self._find_job(operation) or {"job": job.job_id}

    def _cancel_job(self, operation: Operation) -> dict[str, Any]:
        self._job_summary(operation)
        applied = self._commit(operation, CancelJob(operation.partition, operation.subject))
        # A repeated cancellation is rejected because the first one has ended the job.
        found = self._find_job(operation)
        is_cancelled = applied.accepted or (found is not None and found["cancelled"])
        return {"job": operation.subject, "cancelled": is_cancelled}

    def _commit(self, operation: Operation, event: AcceptJob | CancelJob) -> ApplyResult:
        """Records an operation on a job.

        :raises RefusalError: With code ``outcome-unknown`` if this record or an earlier one of the
            same operation may be applied later, with ``log-unavailable`` if there is none.
        """
        try:
            return self._appender.commit(event, ACCEPT_DEADLINE_S)
        except AppendUnknownError as error:
            with self._lock:
                self._unknown_appends[operation.name, operation.subject] = error.sequence
            raise _unknown_operation(operation) from error
        except LogError as error:
            self._check_decided(operation)
            raise RefusalError(
                "log-unavailable",
                f"the operation {operation.name!r} is not recorded: {error}",
                retry_after_s=5.0,
                step=error.step,
            ) from error

    def _check_decided(self, operation: Operation) -> None:
        """Raises ``outcome-unknown`` if an earlier record of an operation may still be applied.

        A refusal of the repeated operation would say nothing about that record.
        """
        with self._lock:
            self._unknown_appends = {
                repeated: sequence
                for repeated, sequence in self._unknown_appends.items()
                if self._appender.outcome(sequence) is AppendOutcome.OPEN
            }
            if (operation.name, operation.subject) in self._unknown_appends:
                raise _unknown_operation(operation)

    def _job_summary(self, operation: Operation) -> dict[str, Any]:
        found = self._find_job(operation)
        if found is None:
            raise RefusalError("not-found", f"no job {operation.subject!r}", status=404)
        return found

    def _find_job(self, operation: Operation) -> dict[str, Any] | None:
        with self._replica.lock:
            jobs = self._replica.jobs(operation.partition)
            found = jobs.summary(operation.subject) if jobs else None
        if found is None or operation.team not in (found["team"], ANY_TEAM):
            return None
        return found

    def _explain(self, local_owner: PartitionOwner, operation: Operation) -> dict[str, Any]:
        summary = self._job_summary(operation)
        wait = local_owner.tasks.why(operation.subject)
        return {**summary, "why": to_plain(wait) if wait else None}

    # Limits.

    def _borrow(self, partition: str, team: str, need: Shortage) -> None:
        for source in self._known_partitions():
            if source == partition:
                continue
            local_owner = self._partitions.local_owner(source)
            if local_owner is not None:
                local_owner.limits.transfer_unused(team, need, partition)
                continue
            try:
                message = LimitRequest(source, partition, team, need.amount, need.waited_s)
                self._network.call(self._owner_address(source), message, 1.0)
            except (PeerError, RefusalError):
                self._metrics.retries.labels("limit.borrow", "unreachable").inc()

    def _handle_limit_request(self, message: LimitRequest) -> Message:
        local_owner = self._require_local_owner(message.source)
        need = Shortage(message.amount, message.waited_s)
        if not local_owner.limits.transfer_unused(message.team, need, message.destination):
            raise RefusalError("nothing-to-give", "no unused allotment")
        return Acknowledged()

    # Lookup.

    def _require_local_owner(self, partition: str) -> PartitionOwner:
        local_owner = self._partitions.local_owner(partition)
        if local_owner is None:
            raise RefusalError(
                "not-owner",
                f"this instance does not serve {partition}",
                retry_after_s=0.5,
                peer=self._settings.instance,
            )
        return local_owner

    def _owner_address(self, partition: str) -> str:
        with self._replica.lock:
            owner = self._replica.fleet.ownership.owner(partition)
            member = self._replica.fleet.roster.members.get(owner.instance) if owner else None
        if owner is None or owner.released or member is None:
            raise _no_owner(partition)
        if member.instance == self._settings.instance:
            raise _no_owner(partition)
        return member.address

    def _known_partitions(self) -> list[str]:
        with self._replica.lock:
            return list(self._replica.fleet.ledger.partitions)

    def _partitions_nearest_first(self) -> list[str]:
        own = list(self._settings.partitions)
        local = [p for p in own if self._partitions.local_owner(p) is not None]
        near = local + [p for p in own if p not in local]
        return near + [p for p in self._known_partitions() if p not in near]

    def _partition_of(self, job_id: str) -> str:
        partition = job_id.rpartition("-")[0]
        if partition not in self._known_partitions():
            raise RefusalError("not-found", f"no job {job_id!r}", status=404)
        return partition


def _unknown_operation(operation: Operation) -> RefusalError:
    return RefusalError(
        "outcome-unknown",
        f"the operation {operation.name!r} may be recorded; repeat it, a submission with the same"
        " idempotency key",
        ran=ExecutionStatus.UNKNOWN,
        status=status_for("outcome-unknown"),
        step="log.append",
    )


def _no_owner(partition: str) -> RefusalError:
    return RefusalError(
        "no-owner",
        f"no instance serves partition {partition!r} now",
        retry_after_s=1.0,
        step="route",
        peer=partition,
    )


def _refusal_from(answer: Message, peer: str) -> RefusalError:
    if not isinstance(answer, RefusalAnswer):
        return RefusalError(
            "outcome-unknown",
            "unexpected answer of a peer",
            ran=ExecutionStatus.UNKNOWN,
            status=502,
            peer=peer,
        )
    retry_after_s = answer.retry_after_s if answer.retry_after_s >= 0 else None
    return RefusalError(
        answer.code,
        answer.detail,
        ran=ExecutionStatus(answer.ran),
        status=status_for(answer.code),
        retry_after_s=retry_after_s,
        step="forward",
        peer=peer,
    )
