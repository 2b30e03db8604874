"""Each row of the table in docs/design/outages.md."""

from __future__ import annotations

import unittest

from azurecleat_bench._internal.commands.outage import CUTS, measure_row

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


if __name__ == "__main__":
    unittest.main()
