"""Checks each row of the table in docs/design/outages.md."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.commands.outage import OUTAGES, measure_outage
from azurecleat_bench._internal.faults.scenarios import owner_of
from azurecleat_bench._internal.faults.simulation import Simulation

EVERYTHING = {"open", "repeatable", "once", "job"}

SERVED = {
    "none": EVERYTHING,
    "log down for all": {"open", "repeatable"},
    "zone cut from platform": {"open", "repeatable"},
    "zone cut from other zones": EVERYTHING,
    "zone cut from both": {"open"},
}


class OutageTest(unittest.TestCase):
    """What a zone serves and what it refuses in each outage."""

    def test_served_and_refused_kinds_of_work(self) -> None:
        self.assertEqual(set(SERVED), set(OUTAGES))
        for name, served in SERVED.items():
            with self.subTest(outage=name):
                row = measure_outage(OUTAGES[name], seed=2, tries=10)
                self.assertEqual({kind for kind, share in row.items() if share == 1.0}, served)
                self.assertEqual(
                    {kind for kind, share in row.items() if share == 0.0}, EVERYTHING - served
                )

    def test_accepted_job_finishes_in_each_outage(self) -> None:
        for name, apply_outage in OUTAGES.items():
            with self.subTest(outage=name):
                simulation = Simulation(2)
                simulation.start()
                simulation.stalls_enabled = False
                owner = owner_of(simulation, "hobart")
                simulation.callers.submit(
                    owner, simulation.keys[0], tasks=4, run_s=5.0, repeatable=True
                )
                job = simulation.history.jobs[-1].job_id
                apply_outage(simulation)
                simulation.run_for(30.0)
                done = {
                    seen.subject.rsplit(".", 1)[0]
                    for seen in simulation.history.observations
                    if seen.event == "done" and seen.subject.startswith(job)
                }
                self.assertEqual(done, {f"{job}.{index}" for index in range(4)})


if __name__ == "__main__":
    unittest.main()
