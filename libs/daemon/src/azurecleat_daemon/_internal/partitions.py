"""Ownership of partitions by this instance: claims, takeovers, losses and releases."""

from __future__ import annotations

import threading

from azurecleat_coordination import Owner, Replica, rank_candidates
from azurecleat_coordination.records import Claim, Release
from azurecleat_model.events import (
    PARTITION_CLAIMED,
    PARTITION_LOST,
    PARTITION_RELEASED,
    PARTITION_SERVING,
    log_event,
)
from azurecleat_model.exceptions import LogError
from azurecleat_platform import Target

from azurecleat_daemon._internal.membership import Membership
from azurecleat_daemon._internal.partition_owner import PartitionOwner, Phase, Services
from azurecleat_daemon._internal.settings import EntrySettings

CLAIM_DEADLINE_S = 3.0
RELEASE_DEADLINE_S = 2.0


class PartitionManager:
    """Claims and releases partitions, so that live instances own all partitions of the zone.

    :param settings: Settings of this instance.
    :param services: Components and settings of the instance that partition owners use.
    """

    def __init__(self, settings: EntrySettings, services: Services, membership: Membership) -> None:
        self._settings = settings
        self._services = services
        self._membership = membership
        self._replica: Replica = services.replica
        self._clock = services.clock
        self._local_owners: dict[str, PartitionOwner] = {}
        self._started_epochs: dict[str, int] = {}
        self._targets: list[Target] = []
        self._lock = threading.RLock()
        self._is_leaving = False

    @property
    def local_owners(self) -> dict[str, PartitionOwner]:
        """Owners of this instance by partition, in any phase."""
        with self._lock:
            return dict(self._local_owners)

    def local_owner(self, partition: str) -> PartitionOwner | None:
        """Returns the owner that serves a partition here, or None."""
        local_owner = self._local_owners.get(partition)
        return (
            local_owner if local_owner is not None and local_owner.phase is Phase.SERVING else None
        )

    def set_targets(self, targets: list[Target]) -> None:
        """Applies the instance list."""
        self._targets = targets
        for partition, local_owner in self.local_owners.items():
            local_owner.set_targets(self._targets_of(partition))

    def keep_known_targets(self) -> None:
        """Keeps serving on the known targets after a failed read of the instance list.

        A failed read counts as a poll, so that the control leases stay valid.
        """
        for local_owner in self.local_owners.values():
            local_owner.lease.record_poll()

    def step(self) -> None:
        """Claims partitions that nobody serves, and stops those that another instance claimed."""
        for partition in self._settings.partitions:
            local_owner = self._local_owners.get(partition)
            if local_owner is not None:
                self._check_ownership(partition, local_owner)
            elif not self._is_leaving and (epoch := self._claimed_unstarted_epoch(partition)):
                # The answer to the claim was lost, but the claim is in the log.
                self._start_local_owner(partition, epoch)
            elif not self._is_leaving and self._should_claim(partition):
                self._claim(partition)

    def release_all(self, drain_s: float) -> None:
        """Releases all partitions after requests in progress have ended.

        :param drain_s: Longest time in seconds to wait for requests in progress.
        """
        self._is_leaving = True
        for partition, local_owner in self.local_owners.items():
            local_owner.requests.close()
            local_owner.requests.wait_until_idle(drain_s)
            self._release(partition, local_owner)

    def _check_ownership(self, partition: str, local_owner: PartitionOwner) -> None:
        with self._replica.lock:
            owner = self._replica.fleet.ownership.owner(partition)
        if owner is not None and owner.epoch > local_owner.epoch:
            # The log names another owner. It need not wait for the leases of released targets.
            local_owner.release_targets()
            self._stop_local_owner(partition, local_owner, f"epoch {owner.epoch} was claimed")
        elif not local_owner.tasks.follows_replica:
            # The next epoch starts with the loaded jobs.
            local_owner.release_targets()
            self._stop_local_owner(
                partition, local_owner, "the partition is loaded from a snapshot"
            )
        elif local_owner.phase is Phase.LOST:
            self._stop_local_owner(
                partition, local_owner, "a target is controlled by a higher epoch"
            )

    def _claimed_unstarted_epoch(self, partition: str) -> int:
        """Returns the epoch that this incarnation claimed but did not start, or 0 if none."""
        with self._replica.lock:
            owner = self._replica.fleet.ownership.owner(partition)
        if owner is None or owner.released or self._replica.jobs(partition) is None:
            return 0
        is_own = owner.incarnation == self._membership.incarnation
        return owner.epoch if is_own and not self._was_started(owner) else 0

    def _was_started(self, owner: Owner) -> bool:
        return owner.epoch <= self._started_epochs.get(owner.partition, 0)

    def _should_claim(self, partition: str) -> bool:
        if not self._replica.is_ready or self._replica.jobs(partition) is None:
            return False
        if not self._targets_of(partition):
            return False
        with self._replica.lock:
            owner = self._replica.fleet.ownership.owner(partition)
        if owner is not None and not self._is_vacant(owner):
            return False
        zone = self._settings.zone
        members = self._membership.members().values()
        candidates = [m.instance for m in members if m.zone == zone]
        alive = [name for name in candidates if self._membership.is_alive(name)]
        return rank_candidates(partition, alive)[:1] == [self._settings.instance]

    def _is_vacant(self, owner: Owner) -> bool:
        if owner.released:
            return True
        if owner.instance == self._settings.instance:
            # The process of an earlier incarnation has ended, and an epoch that was started and
            # stopped is not resumed.
            is_own = owner.incarnation == self._membership.incarnation
            return not is_own or self._was_started(owner)
        member = self._membership.members().get(owner.instance)
        if member is not None and member.incarnation != owner.incarnation:
            return True
        return not self._membership.is_alive(owner.instance)

    def _claim(self, partition: str) -> None:
        try:
            self._replica.catch_up()
            with self._replica.lock:
                owner = self._replica.fleet.ownership.owner(partition)
            if owner is not None and not self._is_vacant(owner):
                return
            epoch = owner.epoch + 1 if owner else 1
            targets = tuple(sorted(target.name for target in self._targets_of(partition)))
            event = Claim(
                partition,
                epoch,
                self._settings.instance,
                self._membership.incarnation,
                targets,
            )
            applied = self._services.appender.commit(event, CLAIM_DEADLINE_S)
        except LogError as error:
            reason = type(error).__name__
            self._services.metrics.retries.labels("partition.claim", reason).inc()
            return
        if applied.accepted:
            self._start_local_owner(partition, epoch)

    def _start_local_owner(self, partition: str, epoch: int) -> None:
        log_event(PARTITION_CLAIMED, partition=partition, epoch=epoch)
        with self._replica.lock:
            owner = self._replica.fleet.ownership.owner(partition)
        if owner is None or owner.epoch != epoch:
            return
        self._started_epochs[partition] = epoch
        previous_targets = () if owner.former_released else owner.former_targets
        local_owner = PartitionOwner(
            self._services, partition, epoch, owner.targets, previous_targets
        )
        local_owner.set_targets(self._targets_of(partition))
        with self._lock:
            self._local_owners[partition] = local_owner
        local_owner.start()
        log_event(PARTITION_SERVING, partition=partition, epoch=epoch)

    def _stop_local_owner(self, partition: str, local_owner: PartitionOwner, reason: str) -> None:
        with self._lock:
            if self._local_owners.get(partition) is local_owner:
                del self._local_owners[partition]
        log_event(PARTITION_LOST, partition=partition, epoch=local_owner.epoch, reason=reason)
        local_owner.stop()

    def _release(self, partition: str, local_owner: PartitionOwner) -> None:
        for future in local_owner.tasks.flush(RELEASE_DEADLINE_S):
            try:
                self._services.appender.wait(future)
            except LogError:
                # Workers keep unacknowledged results and report them to the next owner.
                break
        local_owner.release_targets()
        try:
            if local_owner.knows_previous_work:
                self._commit_release(partition, local_owner)
        except LogError as error:
            # Without the record the next owner waits until the lease lapses; nothing is lost.
            log_event(PARTITION_LOST, partition=partition, epoch=local_owner.epoch, reason=error)
        with self._lock:
            self._local_owners.pop(partition, None)
        local_owner.stop()

    def _commit_release(self, partition: str, local_owner: PartitionOwner) -> None:
        """Records the release, which tells the next owner that all earlier work is known."""
        event = Release(partition, local_owner.epoch)
        self._services.appender.commit(event, RELEASE_DEADLINE_S)
        self._membership.notify_new_entries(self._settings.zone)
        log_event(PARTITION_RELEASED, partition=partition, epoch=local_owner.epoch)

    def _targets_of(self, partition: str) -> list[Target]:
        """Returns the targets that rendezvous hashing assigns to a partition of the zone."""
        partitions = list(self._settings.partitions)
        zone = self._settings.zone
        return [
            target
            for target in self._targets
            if target.zone == zone
            and rank_candidates(target.rack or target.name, partitions)[0] == partition
        ]
