"""The pool simulation with an instance that decides on admission before jobs reach the log."""

from __future__ import annotations

from azurecleat_cluster._internal.front.admission import Admission, Situation, SubmissionCall

from tests.lib.pool_simulation import Arrival, PoolSimulation

READ_PAUSE_S = 0.5
"""Pause between two reads of the load report by the instance."""

MAX_CALLS = 4


class AdmittingPool(PoolSimulation):
    """Plays a load whose refused callers come back as they are told, up to three times."""

    def __init__(self, *arguments, **options) -> None:  # noqa: ANN002, ANN003
        super().__init__(*arguments, **options)
        self._admission = Admission()
        self._seen, self._read_at = None, float("-inf")
        self._returning: list[tuple[float, str, Arrival, int]] = []
        self.refused: dict[str, list[str]] = {}
        """Reasons of the refusals of each job."""
        self.given_up: set[str] = set()

    def submit(self, name: str, arrival: Arrival, call: int = 1) -> None:
        now = self.clock.monotonic()
        if self.now - self._read_at >= READ_PAUSE_S:
            self._read_at, self._seen = self.now, self._replica.load
        report, received_at = self._seen or (None, 0.0)
        decision = self._admission.decide(
            SubmissionCall(name, arrival.queue, arrival.team, arrival.spec, 3.0),
            Situation(report, now - received_at, 1, 60.0, now),
        )
        if decision.refusal is None:
            super().submit(name, arrival)
            return
        self.refused.setdefault(name, []).append(decision.refusal.reason)
        if call < MAX_CALLS:
            return_at = self.now + max(1.0, decision.refusal.retry_after_s)
            self._returning.append((return_at, name, arrival, call + 1))
        else:
            self.given_up.add(name)

    def _tick(self) -> None:
        due = [each for each in self._returning if each[0] <= self.now]
        self._returning = [each for each in self._returning if each[0] > self.now]
        for _, name, arrival, call in due:
            self.submit(name, arrival, call)
        super()._tick()
