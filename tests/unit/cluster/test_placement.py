"""Placement of tasks: together, fast enough, and within all constraints of their step."""

from __future__ import annotations

import random
import unittest

from azurecleat_base import Resources
from azurecleat_cluster import Preferences
from azurecleat_cluster._internal.owner.model import Advice, StepInfo, TargetInfo
from azurecleat_cluster._internal.owner.placement import place, place_gang
from azurecleat_cluster.values import AdviceTerms

from tests.unit.cluster.test_target_health import make_step, make_target, start


def fits_naively(step: StepInfo, target: TargetInfo, chosen: list[TargetInfo]) -> bool:
    """Whether one more task fits, computed only from the runs and the targets chosen so far."""
    taken = [run.allocation for run in target.runs.values()]
    taken += [step.spec.allocation for each in chosen if each is target]
    total = Resources(0, 0, 0)
    for allocation in (*taken, step.spec.allocation):
        total = total.plus(allocation)
    same = sum(run.step is step for run in target.runs.values())
    same += sum(each is target for each in chosen)
    bound = step.spec.max_per_target
    return total.fits_in(target.entry.capacity) and (not bound or same < bound)


def most_kept_away(step: StepInfo, indices: list[int], room: dict[str, int]) -> int:
    """Returns the most tasks that can all run at once on targets that they do not avoid."""
    if not indices:
        return 0
    first, others = indices[0], indices[1:]
    best = most_kept_away(step, others, room)
    for name, count in room.items():
        if count and name not in step.avoided[first]:
            best = max(best, 1 + most_kept_away(step, others, {**room, name: count - 1}))
    return best


class PlacementTest(unittest.TestCase):
    """Comparison with a naive computation on random loads, and tests of single constraints."""

    def test_agrees_with_a_naive_count_on_random_loads(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)
            targets = [
                make_target(n, rng.choice("ab"), f"z{n % 3}", rng.choice((8_000, 16_000)))
                for n in range(rng.randint(1, 9))
            ]
            for number in range(rng.randint(0, 12)):
                other = make_step(f"o{number}", 1, rng.choice((1_000, 3_000, 7_000)))
                target = rng.choice(targets)
                if fits_naively(other, target, []):
                    start(other, 0, target, 0.0)
            step = make_step(
                "new",
                rng.randint(1, 20),
                rng.choice((1_000, 2_500, 6_000)),
                max_per_target=rng.choice((0, 0, 1, 2)),
            )
            indices = sorted(step.pending)
            chosen = place(step, indices, targets, 0.0, Preferences())
            with self.subTest(seed=seed):
                self.assertEqual(len({index for index, _ in chosen}), len(chosen))
                placed: list[TargetInfo] = []
                for _, target in chosen:
                    self.assertTrue(fits_naively(step, target, placed))
                    placed.append(target)
                if len(chosen) < len(indices):
                    left = [target for target in targets if fits_naively(step, target, placed)]
                    self.assertEqual(left, [])

    def test_job_stays_in_one_zone_and_on_few_targets(self) -> None:
        targets = [make_target(n, zone=f"z{n % 3}") for n in range(24)]
        chosen = place(make_step("job", 6), range(6), targets, 0.0, Preferences())
        self.assertEqual(len(chosen), 6)
        self.assertEqual(len({target.id for _, target in chosen}), 1)
        wide = place(make_step("wide", 60), range(60), targets, 0.0, Preferences())
        self.assertEqual(len({target.entry.zone for _, target in wide}), 1)

    def test_urgent_steps_use_fast_kinds_and_other_steps_leave_them_free(self) -> None:
        targets = [make_target(0, "a"), make_target(1, "b")]
        preferences = Preferences()
        for _ in range(200):
            preferences.add_durations([("a", 1.0), ("b", 1.3), ("a", 1.0)])
        urgent, patient = make_step("urgent", 2), make_step("patient", 2)
        queue = patient.job.submission.queue._replace(stretch=2.2)
        patient.job.submission = patient.job.submission._replace(queue=queue)
        for step, kind in ((urgent, "a"), (patient, "b")):
            chosen = place(step, range(2), targets, 0.0, preferences)
            self.assertEqual({target.entry.kind for _, target in chosen}, {kind})

    def test_advice_labels_and_failures_are_respected(self) -> None:
        targets = [make_target(n) for n in range(4)]
        step = make_step("advised", 2, required_label="r0")
        queue = step.job.submission.queue._replace(advice=AdviceTerms(1, 1, 2000))
        step.job.submission = step.job.submission._replace(queue=queue)
        self.assertEqual(place(step, range(2), targets, 0.0, Preferences()), [])
        step.advice.add(Advice(("t2", "t3"), {"t2": "x", "t3": "y"}, 5.0))
        step.avoided[0] = {"t2"}
        chosen = dict(place(step, range(2), targets, 1.0, Preferences()))
        self.assertEqual(chosen[0].id, "t3")
        self.assertIn(chosen[1].id, {"t2", "t3"})
        self.assertEqual(place(step, range(2), targets, 6.0, Preferences()), [])
        self.assertEqual(
            place(make_step("no", 1, required_label="gpu"), [0], targets, 0.0, Preferences()), []
        )

    # Review case 5: a gang whose member avoided two of three targets was never started again.
    def test_gang_is_placed_whole_if_some_assignment_avoids_failed_targets(self) -> None:
        targets = [make_target(n, cpu=15_000) for n in range(3)]
        gang = make_step("gang", 4, 5_000, gang=True)
        gang.avoided[3] = {"t1", "t2"}
        chosen = dict(place_gang(gang, targets, 0.0, Preferences()))
        self.assertEqual(len(chosen), 4)
        self.assertEqual(chosen[3].id, "t0")

    def test_assignment_agrees_with_a_naive_search(self) -> None:
        for seed in range(300):
            rng = random.Random(seed)
            targets = [
                make_target(n, cpu=rng.choice((5_000, 10_000))) for n in range(rng.randint(1, 4))
            ]
            step = make_step("step", rng.randint(1, 6), 5_000, gang=True)
            for index in range(step.spec.count):
                step.avoided[index] = {each.id for each in targets if rng.random() < 0.5}
            room = {target.id: target.free.cpu_milli // 5_000 for target in targets}
            with self.subTest(seed=seed):
                chosen = place_gang(step, targets, 0.0, Preferences())
                if sum(room.values()) < step.spec.count:
                    self.assertEqual(chosen, [])
                    continue
                self.assertEqual(sorted(index for index, _ in chosen), list(range(step.spec.count)))
                for name, count in room.items():
                    self.assertLessEqual(sum(target.id == name for _, target in chosen), count)
                kept_away = sum(target.id not in step.avoided[index] for index, target in chosen)
                self.assertEqual(
                    kept_away, most_kept_away(step, list(range(step.spec.count)), room)
                )

    def test_task_with_fewer_targets_to_choose_from_gets_one_of_them(self) -> None:
        targets = [make_target(n, cpu=15_000) for n in range(3)]
        step = make_step("step", 4, 5_000)
        step.avoided[3] = {"t1", "t2"}
        chosen = dict(place(step, range(4), targets, 0.0, Preferences()))
        self.assertEqual(len(chosen), 4)
        self.assertEqual(chosen[3].id, "t0")

    def test_gang_leaves_a_rack_only_if_the_rack_has_no_room(self) -> None:
        targets = [make_target(n, cpu=10_000) for n in (0, 1, 8, 9)]
        gang = make_step("gang", 4, 5_000, gang=True, same_rack=True, data_rack="r0")
        gang.avoided[2] = {"t0", "t1"}
        chosen = place_gang(gang, targets, 0.0, Preferences())
        self.assertEqual({target.entry.rack for _, target in chosen}, {"r1"})
        gang.avoided[2] = {"t0", "t1", "t8", "t9"}
        chosen = place_gang(gang, targets, 0.0, Preferences())
        self.assertEqual({target.entry.rack for _, target in chosen}, {"r0"})

    def test_gangs_are_placed_whole_and_in_one_rack_if_required(self) -> None:
        targets = [make_target(n, cpu=10_000) for n in range(16)]
        gang = make_step("gang", 12, 5_000, gang=True, same_rack=True)
        chosen = place_gang(gang, targets, 0.0, Preferences())
        self.assertEqual(len(chosen), 12)
        self.assertEqual(len({target.entry.rack for _, target in chosen}), 1)
        self.assertEqual(
            place_gang(make_step("huge", 33, 5_000, gang=True), targets, 0.0, Preferences()), []
        )


if __name__ == "__main__":
    unittest.main()
