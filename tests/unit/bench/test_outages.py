"""Each row of the table in docs/design/outages.md."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.commands.outage import CUTS, measure_row
from azurecleat_bench._internal.faults.scenarios import owner_of
from azurecleat_bench._internal.faults.world import World

EVERYTHING = {"open", "repeatable", "once", "job"}

SERVED = {
    "none": EVERYTHING,
    "log down for all": {"open", "repeatable"},
    "zone cut from platform": {"open", "repeatable"},
    "zone cut from other zones": EVERYTHING,
    "zone cut from both": {"open"},
}


class OutageTest(unittest.TestCase):
    """What a zone serves in each cut, and what it refuses."""

    def test_each_row(self) -> None:
        self.assertEqual(set(SERVED), set(CUTS))
        for name, served in SERVED.items():
            with self.subTest(cut=name):
                row = measure_row(CUTS[name], seed=2, tries=10)
                self.assertEqual({kind for kind, share in row.items() if share == 1.0}, served)
                self.assertEqual(
                    {kind for kind, share in row.items() if share == 0.0}, EVERYTHING - served
                )

    def test_accepted_work_goes_on_in_each_row(self) -> None:
        for name, cut in CUTS.items():
            with self.subTest(cut=name):
                world = World(2)
                world.start()
                world.stalls_on = False
                owner = owner_of(world, "hobart")
                world.callers.submit(owner, world.keys[0], tasks=4, run_s=5.0, repeatable=True)
                job = world.history.jobs[-1].job_id
                cut(world)
                world.run_for(30.0)
                done = {
                    seen.subject.rsplit(".", 1)[0]
                    for seen in world.history.observations
                    if seen.what == "done" and seen.subject.startswith(job)
                }
                self.assertEqual(done, {f"{job}.{index}" for index in range(4)})


if __name__ == "__main__":
    unittest.main()
