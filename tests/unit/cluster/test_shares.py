"""Limits per team when one team submits many times its share, as in the load ``hot_tenant``."""

from __future__ import annotations

import unittest

from azurecleat_cluster._internal.owner.shares import TeamShareLimiter


class ShareTest(unittest.TestCase):
    """Which jobs exceed a team's share."""

    def count_within(self, rate_per_s: float, share_per_s: float, seconds: float) -> int:
        limiter = TeamShareLimiter()
        times = [number / rate_per_s for number in range(int(rate_per_s * seconds))]
        return sum(not limiter.exceeds_share("team", share_per_s, now) for now in times)

    def test_team_over_its_share_gets_just_its_share(self) -> None:
        within = self.count_within(rate_per_s=30.0, share_per_s=4.0, seconds=8.0)
        self.assertTrue(32 <= within <= 36, within)

    def test_team_within_its_share_is_not_limited(self) -> None:
        self.assertEqual(self.count_within(3.0, 4.0, 8.0), 24)

    def test_share_of_zero_means_no_limit(self) -> None:
        self.assertEqual(self.count_within(100.0, 0.0, 1.0), 100)

    def test_teams_do_not_use_each_others_share(self) -> None:
        limiter = TeamShareLimiter()
        for _ in range(20):
            limiter.exceeds_share("hot", 2.0, 1.0)
        self.assertFalse(limiter.exceeds_share("calm", 2.0, 1.0))

    # Between two jobs of a flood the bucket has a token at some moments.
    def test_team_that_floods_is_over_its_share_until_it_pauses(self) -> None:
        limiter = TeamShareLimiter()
        for number in range(40):
            limiter.exceeds_share("hot", 2.0, number * 0.1)
        self.assertTrue(all(limiter.is_over_share("hot", 2.0, 3.9 + n / 20) for n in range(10)))
        self.assertFalse(limiter.is_over_share("hot", 2.0, 4.5))
        self.assertFalse(limiter.is_over_share("calm", 2.0, 3.9))

    # Its bucket is empty after each job: the account was refused work that it was entitled to.
    def test_team_within_a_small_share_is_not_over_it(self) -> None:
        limiter = TeamShareLimiter()
        for number in range(10):
            limiter.exceeds_share("small", 1.0, number * 1.1)
            self.assertFalse(limiter.is_over_share("small", 1.0, number * 1.1 + 0.1))


if __name__ == "__main__":
    unittest.main()
