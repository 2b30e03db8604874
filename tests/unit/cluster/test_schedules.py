"""Random schedules of ends, acknowledgements, failed appends, takeovers and lost answers."""

from __future__ import annotations

import unittest
import unittest.mock

from azurecleat_base import Resources
from azurecleat_cluster._internal.features import Features
from azurecleat_cluster._internal.owner import preemption, term
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tests.lib import cluster_simulation
from tests.lib.cluster_simulation import QUEUE, Simulation
from tests.lib.simulated_targets import SimTarget

MAX_ENDS = 2
"""Most run ends in one report, so that reports are often incomplete."""

EXAMPLES = 200
PHASES = (Phase.explicit, Phase.generate)
"""Without shrinking, which takes minutes: a schedule has few rounds anyway."""

NODES, TARGETS = 3, 4
URGENT = QUEUE._replace(name="urgent", objective_ms=10_000)
WIDE = QUEUE._replace(name="wide", priority=2)
WIDE_JOBS = 3
"""Jobs of the second queue in each round: enough to fill the targets."""

WIDE_LEAD_S = 0.6
"""Time after which their runs are confirmed, as only such runs are stopped."""

ACTIONS = (
    "take over",
    "take over",
    "pause",
    "cut off the log",
    "log down",
    "lose append answers",
    "lose target answers",
    "cut off targets",
    "restart under the id",
    "crash",
    "heal",
)

ROUNDS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, NODES - 1),
        st.integers(0, TARGETS - 1),
        st.sampled_from((0.04, 0.1, 0.3, 0.7, 1.5, 4.0)),
    ),
    min_size=4,
    max_size=16,
)


def act(simulation: Simulation, action: str, number: int, target: int) -> None:
    """Lets one event happen at an instance, a target or the log."""
    node = simulation.nodes[number]
    match action:
        case "take over":
            node.take_over()
        case "pause":
            node.paused_until = simulation.clock.monotonic() + 2.0
        case "cut off the log":
            node.log.is_unreachable = True
        case "log down":
            simulation.log.down = not simulation.log.down
        case "lose append answers":
            simulation.log.lose_answers = 3
        case "lose target answers":
            simulation.loss_rate = 0.3
        case "cut off targets":
            node.unreachable_targets = {simulation.targets[target].id}
        case "restart under the id":
            simulation.restart_with_same_id(target, notice_s=0.5)
        case "crash":
            simulation.crash_target(target)
        case "heal":
            simulation.heal()


def play(rounds: list[tuple[str, int, int, float]], preempts: bool = False) -> Simulation:
    """Plays a schedule.

    :param preempts: Each round also submits work that urgent work may take the place of.
    """
    features = Features(preemption=preempts)
    max_task_s = 2.0 if preempts else 0.5
    simulation = Simulation(1, NODES, TARGETS, max_task_s=max_task_s, features=features)
    simulation.nodes[0].take_over()
    for job, (action, node, target, pause_s) in enumerate(rounds):
        if not simulation.log.down:
            simulation.log.lose_answers = 0
            if preempts:
                for number in range(WIDE_JOBS):
                    simulation.submit(f"{number + 1:08x}{job:08x}", checkpointing=True, queue=WIDE)
                simulation.run(WIDE_LEAD_S)
                simulation.submit(f"{job:016x}", queue=URGENT)
            else:
                simulation.submit(f"{job:016x}")
        act(simulation, action, node, target)
        simulation.run(pause_s)
    simulation.heal()
    simulation.nodes[len(rounds) % NODES].take_over()
    simulation.run(4.0)
    return simulation


class ScheduleTest(unittest.TestCase):
    """The real term of each owner, with simulated sessions, targets and log."""

    # A task was started again after one of its runs had ended as done and been acknowledged.
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None, phases=PHASES)
    @given(ROUNDS)
    def test_no_task_starts_after_an_acknowledged_end(self, rounds) -> None:  # noqa: ANN001
        with (
            unittest.mock.patch.object(term, "MAX_REPORTED_ENDS", MAX_ENDS),
            unittest.mock.patch.object(SimTarget, "MAX_REPORTED_ENDS", MAX_ENDS),
        ):
            violations = play(rounds).checker.violations
        self.assertEqual([line for line in violations if "TWICE" in line], [])

    # A preempted task must not start while its run may still be at work, nor after it was done.
    @settings(max_examples=30, derandomize=True, deadline=None, database=None, phases=PHASES)
    @given(ROUNDS)
    def test_preempted_tasks_break_no_rule(self, rounds) -> None:  # noqa: ANN001
        with (
            unittest.mock.patch.object(cluster_simulation, "TEAM_LIMIT", Resources(40_000, 0, 0)),
            unittest.mock.patch.object(preemption, "MAX_STOPPING_SHARE", 0.5),
        ):
            simulation = play(rounds, preempts=True)
        self.assertEqual(simulation.checker.violations, [])


if __name__ == "__main__":
    unittest.main()
