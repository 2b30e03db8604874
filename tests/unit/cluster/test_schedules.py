"""Random schedules of ends, acknowledgements, failed appends, takeovers and lost answers."""

from __future__ import annotations

import unittest
import unittest.mock

from azurecleat_cluster._internal.owner import term
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tests.lib.cluster_simulation import Simulation
from tests.lib.simulated_targets import SimTarget

MAX_ENDS = 2
"""Most run ends in one report, so that reports are often incomplete."""

EXAMPLES = 200
PHASES = (Phase.explicit, Phase.generate)
"""Without shrinking, which takes minutes: a schedule has few rounds anyway."""

NODES, TARGETS = 3, 4
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


def play(rounds: list[tuple[str, int, int, float]]) -> Simulation:
    simulation = Simulation(1, NODES, TARGETS, max_task_s=0.5)
    simulation.nodes[0].take_over()
    for job, (action, node, target, pause_s) in enumerate(rounds):
        if not simulation.log.down:
            simulation.log.lose_answers = 0
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


if __name__ == "__main__":
    unittest.main()
