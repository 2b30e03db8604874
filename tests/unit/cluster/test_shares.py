"""The pattern of ``hot_tenant``: one team sends many times its share."""

from __future__ import annotations

import unittest

from azurecleat_cluster._internal.owner.shares import TeamShareLimiter


class ShareTest(unittest.TestCase):
    """Which jobs are beyond a team's share."""

    def count_within(self, rate_per_s: float, share_per_s: float, seconds: float) -> int:
        meter = TeamShareLimiter()
        times = [number / rate_per_s for number in range(int(rate_per_s * seconds))]
        return sum(not meter.exceeds_share("team", share_per_s, now) for now in times)

    def test_a_hot_team_gets_its_share_and_no_more(self) -> None:
        within = self.count_within(rate_per_s=30.0, share_per_s=4.0, seconds=8.0)
        self.assertTrue(32 <= within <= 36, within)

    def test_a_team_within_its_share_is_never_beyond_it(self) -> None:
        self.assertEqual(self.count_within(3.0, 4.0, 8.0), 24)

    def test_no_share_means_no_bound(self) -> None:
        self.assertEqual(self.count_within(100.0, 0.0, 1.0), 100)

    def test_teams_do_not_use_each_others_share(self) -> None:
        meter = TeamShareLimiter()
        for _ in range(20):
            meter.exceeds_share("hot", 2.0, 1.0)
        self.assertFalse(meter.exceeds_share("calm", 2.0, 1.0))


if __name__ == "__main__":
    unittest.main()
