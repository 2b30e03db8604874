"""Life cycle of the targets of an ownership term: added, restarted, draining and dropped."""

from __future__ import annotations

from collections.abc import Mapping

from azurecleat_base import Resources

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.owner.crash_tracking import CrashTracking
from azurecleat_cluster._internal.owner.crashes import runs_being_started
from azurecleat_cluster._internal.owner.model import Run, RunState, TargetInfo
from azurecleat_cluster._internal.owner.state import Session
from azurecleat_cluster._internal.replica import records as r
from azurecleat_cluster._internal.values import TargetEntry, TargetState


class TargetLifecycle(CrashTracking):
    """The part of a term that follows which incarnations of targets exist."""

    def on_target_entry(self, entry: TargetEntry) -> None:
        """Handles a new or changed registry entry of a target."""
        with self.lock:
            session = self.sessions.get(entry.id)
            if session is not None and _is_previous_incarnation(session.target.entry, entry):
                return  # The entry is outdated: a newer incarnation of the target has answered.
            if session is not None and _is_foreign(session.target.entry, entry):
                return  # Only a start time could show that the known incarnation has ended.
            if session is not None and _is_same_incarnation(session.target.entry, entry):
                self._update_entry(session.target, entry)
            else:
                if session is not None:
                    self._drop_target(
                        session, "another incarnation registered under its id", is_restarted=True
                    )
                if not self._is_replaced(entry):
                    self._add_target(entry)
        self.wake()

    def on_entry_removed(self, target: str) -> None:
        """Notes that a target's registry entry was removed."""
        with self.lock:
            session = self.sessions.get(target)
            if session is not None and session.target.registered:
                session.target.registered = False
                session.target.unregistered_at = self._clock.monotonic()

    def add_previous_target(self, entry: TargetEntry) -> None:
        """Adds a target that the previous owner used and that has no registry entry now."""
        with self.lock:
            if entry.id not in self.sessions and not self._is_replaced(entry):
                self._add_target(entry)
                target = self.sessions[entry.id].target
                target.registered, target.unregistered_at = False, float("-inf")

    def _update_entry(self, target: TargetInfo, entry: TargetEntry) -> None:
        was_ready = target.entry.state is TargetState.READY
        target.update_entry(entry)
        target.registered = True
        if was_ready and entry.state is TargetState.DRAINING:
            self._events.write(
                eventlog.TARGET_DRAINING, target=entry.id, remaining_ms=entry.remaining_ms
            )
            self.evacuate(target)

    def apply_evacuations(self) -> None:
        """Excludes the targets of evacuated zones, and uses those that are taken back."""
        targets = [session.target for session in self.sessions.values()]
        state = self.evacuations.update(self.configuration.evacuated_zones, targets)
        if state.has_changed:
            self._events.write(
                eventlog.EVACUATION_APPLIED,
                zones=sorted(state.zones),
                targets=state.targets,
                runs=state.runs,
                epoch=self.authority.epoch,
            )
        if state.zones or state.has_changed:
            self._metrics.evacuated_targets.set(state.targets)
            self._metrics.evacuated_runs.set(state.runs)

    def evacuate(self, target: TargetInfo) -> None:
        """Stops the long-running and checkpointing runs of a draining target.

        They would be lost with the target, and can continue on another one. The other runs would
        have to start over, so they are left to finish.
        """
        for run in list(target.runs.values()):
            spec = run.step.spec
            if spec.long_running or spec.checkpointing:
                self.stop_run(run, "target is draining")

    def _is_replaced(self, entry: TargetEntry) -> bool:
        """Whether a newer incarnation than the entry's is known at the same address.

        Targets known at that address that are not newer are dropped: they have ended.
        """
        session = self.sessions.get(self._targets_by_address.get(entry.address, ""))
        if session is None:
            return False
        if session.target.entry.started_at_ms > entry.started_at_ms:
            if self.takeover is not None:
                self.takeover.mark_ended(entry.id, self._clock.monotonic())
            return True
        self._drop_target(session, f"{entry.id} now uses its address")
        return False

    def _add_target(self, entry: TargetEntry) -> None:
        target = TargetInfo(entry)
        session = self._make_session(target, self)
        self.sessions[entry.id] = session
        self._targets_by_address[entry.address] = entry.id
        self.poll_schedule.add_target()
        unconfirmed = self._unconfirmed_runs.pop(entry.id, ())
        for run in unconfirmed:
            self._stop_unconfirmed_run(run, target)
        if unconfirmed:
            session.assume_max_lease()
        self._events.write(
            eventlog.TARGET_ADDED,
            target=entry.id,
            address=entry.address,
            born=entry.started_at_ms,
            reason=entry.state.value,
        )
        # The log must name the target before its first command: a later owner has to reach every
        # target in use, or wait for its lease to end.
        encoded = encode_target(entry)
        is_recorded = self._replica.targets_in_use.get(entry.id) == encoded.decode()
        if is_recorded and entry.id not in self._deleted_targets:
            self._start_session(session)
        else:
            self._record_first_epoch(entry.id)
            self._writer.put(
                r.TARGET + entry.id, lambda: encoded, lambda: self._start_session(session)
            )

    def _record_first_epoch(self, target: str) -> None:
        """Records that no earlier owner has used a target, if one of them may still act.

        A later owner must not count the target towards a majority against such an owner.
        """
        takeover = self.takeover
        if takeover is None or takeover.are_previous_owners_gone() or takeover.is_previous(target):
            return
        self._first_used.add(target)
        encoded = r.encode_epoch(self.authority.epoch)
        self._writer.put(r.FIRST_EPOCH + target, lambda: encoded)

    def _stop_unconfirmed_run(self, run: Run, target: TargetInfo) -> None:
        """Stops, on a target's new incarnation, a run whose start was sent to the previous one.

        Commands name only the target's id, which both incarnations share, so the new one may have
        received the start, even if the previous one executed it and the start was sent again.
        Unless the task is running elsewhere, it is not started again until the new incarnation has
        answered a stop and a poll.
        """
        step, index = run.step, run.task.index
        run.target, run.confirmed_at, run.valid_until = target, None, 0.0
        run.state = RunState.RUNNING
        target.add(run)
        self.usage.add(run)
        if index in step.pending and index not in step.active:
            step.take_task(index)
            step.active[index] = run
        self.stop_run(run, "its target restarted")

    def _start_session(self, session: Session) -> None:
        with self.lock:
            if self._stopping or self.sessions.get(session.target.id) is not session:
                return
            target = session.target.id
            self.authority.add_target(target)
            is_recorded = self.takeover is not None and target in self.takeover.unreached
            self.session_starter.add(target, is_first=is_recorded)
            self.start_sessions()

    def start_sessions(self) -> None:
        """Starts the sessions whose turn it is; has to be called regularly."""
        with self.lock:
            if self._stopping or not self.session_starter.has_waiting:
                return
            for target in self.session_starter.take(self._clock.monotonic()):
                try:
                    self.sessions[target].start()
                except RuntimeError:  # The limit of threads or of memory is reached.
                    self.session_starter.add(target, is_first=True)

    def _drop_target(
        self,
        session: Session,
        reason: str,
        is_restarted: bool = False,
        may_be_unreachable: bool = False,
    ) -> None:
        """Drops a target incarnation all of whose runs have certainly ended.

        :param is_restarted: Another incarnation has the same id. The previous owner may have used
            it already, so a takeover still has to reach it.
        :param may_be_unreachable: Only its lease is known to be over: the target itself may be up.
        """
        target = session.target
        if self.sessions.get(target.id) is not session:
            return
        is_draining = target.entry.state is TargetState.DRAINING
        if target.reached and not is_draining and not may_be_unreachable:
            self.note_crash(target, reason)
        del self.sessions[target.id]
        self.session_starter.remove(target.id)
        if self._targets_by_address.get(target.entry.address) == target.id:
            del self._targets_by_address[target.entry.address]
        unconfirmed = target.unconfirmed_runs(self._clock.monotonic())
        if unconfirmed:
            self._unconfirmed_runs[target.id] = unconfirmed
        self._events.write(
            eventlog.TARGET_GONE, target=target.id, reason=reason, runs=len(target.runs)
        )
        self._release_lost_runs(target, reason)
        self.authority.remove_target(target.id)
        if self.takeover is not None and is_restarted:
            self.takeover.mark_restarted(target.id)
        elif self.takeover is not None:
            self.takeover.mark_ended(target.id, self._clock.monotonic())
        self._deleted_targets.add(target.id)
        self._writer.put(r.TARGET + target.id, lambda: None)
        if target.id in self._first_used or target.id in self._replica.first_epochs:
            self._writer.put(r.FIRST_EPOCH + target.id, lambda: None)
        session.stop()

    def _release_lost_runs(self, target: TargetInfo, reason: str) -> None:
        for run in list(target.runs.values()):
            self._events.write(
                eventlog.RUN_LOST,
                task=run.task,
                run=run.number,
                target=target.id,
                reason=reason,
            )
            self.durations.note_lost(run)
            self._release(run)

    def known_incarnations(self) -> frozenset[str]:
        """Returns the ids of the targets reached and of the previous owner's not reached yet."""
        with self.lock:
            unreached = self.takeover.unreached if self.takeover is not None else frozenset()
            reached = {name for name, session in self.sessions.items() if session.target.reached}
            return unreached | reached

    def on_capacities(self, capacities: Mapping[str, Resources | None]) -> None:
        """Takes over the targets' capacities from the directory.

        A target's entry may be out of date while the log is out of reach. The lower one holds.
        """
        with self.lock:
            for name, capacity in capacities.items():
                if name in self.sessions:
                    self.sessions[name].target.set_listed_capacity(capacity)

    def on_incarnations_ended(self, targets: frozenset[str]) -> None:
        """Drops target incarnations that are no longer in the directory."""
        if not targets:
            return
        with self.lock:
            for name in sorted(targets, key=self._is_starting_something):
                if name in self.sessions:
                    self._drop_target(self.sessions[name], "no longer in the directory")
                elif self.takeover is not None:
                    self.takeover.mark_ended(name, self._clock.monotonic())
        self.wake()

    def _is_starting_something(self, target: str) -> bool:
        """Whether a target is known to which a run was just sent: it may have crashed for it."""
        session = self.sessions.get(target)
        return session is not None and bool(runs_being_started(session.target.runs.values()))


def encode_target(entry: TargetEntry) -> bytes:
    """Encodes the log record of a target in use."""
    return r.dump([entry.address, entry.pool, entry.started_at_ms])


def _is_same_incarnation(known: TargetEntry, reported: TargetEntry) -> bool:
    same_address = known.address == reported.address
    same_start = known.started_at_ms == reported.started_at_ms or not (
        known.started_at_ms and reported.started_at_ms
    )
    return same_address and same_start


def _is_previous_incarnation(known: TargetEntry, reported: TargetEntry) -> bool:
    return known.address == reported.address and 0 < reported.started_at_ms < known.started_at_ms


def _is_foreign(known: TargetEntry, reported: TargetEntry) -> bool:
    """Whether another writer than the target wrote an entry: it lacks the target's start time."""
    is_start_missing = known.started_at_ms and not reported.started_at_ms
    return bool(is_start_missing) and known.address != reported.address
