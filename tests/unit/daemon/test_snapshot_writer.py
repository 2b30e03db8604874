"""Which instance writes a snapshot, and after how many entries of the log."""

from __future__ import annotations

import unittest
from unittest.mock import Mock, patch

from azurecleat_daemon._internal.snapshot_writer import SnapshotWriter

INTERVAL = 40
SECTION = "fleet"
MEMBERS = [f"n{number}" for number in range(40)]


class SnapshotRankTest(unittest.TestCase):
    """Instances that are members of the roster, of which some don't answer."""

    def writers_after(self, entries: int, alive: set[str]) -> set[str]:
        """Returns the instances that write a snapshot after a number of entries."""
        replica = Mock(is_ready=True, snapshot_covers={}, position=entries + 1)
        replica.complete_sections.return_value = [SECTION]
        membership = Mock()
        membership.members.return_value = dict.fromkeys(MEMBERS)
        membership.is_alive = alive.__contains__
        writing = set()
        for name in alive:
            writer = SnapshotWriter(name, replica, Mock(), membership, INTERVAL)
            with patch.object(writer, "write") as write:
                writer.step()
            if write.called:
                writing.add(name)
        return writing

    def test_each_further_instance_waits_for_another_interval(self) -> None:
        alive = set(MEMBERS)
        counts = [len(self.writers_after(n * INTERVAL, alive)) for n in (0, 1, 2, 40)]
        self.assertEqual(counts, [0, 1, 2, 40])

    # Lost members kept their rank: the only instance left wrote its first snapshot up to 40
    # intervals later, when the log may have deleted the entries.
    def test_only_instance_left_writes_after_one_interval(self) -> None:
        for name in MEMBERS:
            with self.subTest(left=name):
                self.assertEqual(self.writers_after(INTERVAL, {name}), {name})


if __name__ == "__main__":
    unittest.main()
