"""Crashes of targets under the tasks of one step."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from azurecleat_cluster._internal.replica.records import Crash


class CrashHistory:
    """Counts crashes by task. Guarded by the lock of the owner's term."""

    def __init__(self) -> None:
        self.last_at = float("-inf")
        """When a target last crashed under a task."""
        self.suspects: set[int] = set()
        """Tasks that are started isolated: a target crashed when they were last started there."""
        self.unrecorded: set[int] = set()
        """Tasks that wait until their crashes are in the log."""
        self._crashes: dict[int, set[Crash]] = {}

    @property
    def tasks(self) -> Collection[int]:
        """The tasks under which a target has crashed."""
        return self._crashes.keys()

    def of(self, index: int) -> Collection[Crash]:
        """Returns the crashes under a task."""
        return self._crashes.get(index, frozenset())

    def add(self, index: int, crash: Crash, now: float, max_count: int | None = None) -> None:
        """Counts a crash under a task.

        :param max_count: Number of crashes to keep, the last ones; None to keep all.
        """
        crashes = self._crashes.setdefault(index, set())
        crashes.add(crash)
        if max_count is not None and len(crashes) > max_count:
            crashes.remove(min(crashes))
        self.last_at = now

    def forget(self, index: int) -> None:
        """Gives a task a clean record."""
        self.suspects.discard(index)
        self.unrecorded.discard(index)
        self._crashes.pop(index, None)

    def restore(self, crashes: Mapping[int, Collection[Crash]]) -> None:
        """Restores what :meth:`progress` returned, from the log."""
        self._crashes = {index: set(each) for index, each in crashes.items()}
        self.suspects = {
            index for index, each in crashes.items() if any(crash.is_suspected for crash in each)
        }

    def progress(self) -> dict[int, tuple[Crash, ...]]:
        """Returns the crashes under each task, for the log."""
        return {index: tuple(sorted(each)) for index, each in self._crashes.items()}
