"""Runs in-process instances with random faults and checks the guarantees."""

from __future__ import annotations

from typing import Any

from cleo.helpers import option

from azurecleat_bench._internal.base import COMMON_OPTIONS, Bench
from azurecleat_bench._internal.faults.run import run_faults, summarize


class FaultsCommand(Bench):
    """Runs random work and faults, then checks what targets, callers and operators observed."""

    name = "faults"
    description = "Injects random faults and checks the guarantees."
    options = [*COMMON_OPTIONS, option("steps", None, "Steps.", flag=False, default="300")]

    def measure(self) -> dict[str, Any]:
        """Runs one simulation and prints the violations."""
        steps = self.int_option("steps")
        simulation, violations = run_faults(self.seed, steps)
        for violation in violations:
            self.line_error(f"{violation.guarantee}: {violation.detail}")
        return {"seed": self.seed, **summarize(simulation, steps, violations)}
