"""Backoff, retry budgets and circuit breakers, which limit the load that retries cause."""

from __future__ import annotations

import random
from enum import Enum

from azurecleat_model import Clock


class Backoff:
    """Exponential backoff with full jitter.

    Source: M. Brooker, "Exponential Backoff and Jitter", 2015.

    :param base_s: Upper bound of the first delay in seconds; it doubles with each try.
    :param max_s: Upper bound of any delay in seconds.
    :param rng: Source of randomness.
    """

    def __init__(self, base_s: float, max_s: float, rng: random.Random) -> None:
        self._base_s = base_s
        self._max_s = max_s
        self._rng = rng

    def delay_s(self, tries: int) -> float:
        """Returns the delay in seconds after ``tries`` failed tries."""
        bound = min(self._max_s, self._base_s * 2 ** min(tries - 1, 30))
        return self._rng.uniform(0, bound)


class RetryBudget:
    """Allows retries up to a fraction of the first tries, so that retries do not multiply load.

    :param ratio: Retries earned by each first try.
    :param capacity: Largest balance of retries; also the initial balance.
    """

    def __init__(self, ratio: float = 0.1, capacity: float = 10.0) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._balance = capacity

    @property
    def balance(self) -> float:
        return self._balance

    def on_first_try(self) -> None:
        """Adds ``ratio`` to the balance."""
        self._balance = min(self._capacity, self._balance + self._ratio)

    def take(self) -> bool:
        """Takes one retry from the balance; returns False if the balance is too low."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class BreakerState(str, Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Stops calls to a target that keeps failing, and probes it with single calls.

    :param clock: Clock for the open period.
    :param threshold: Consecutive failures that open the breaker.
    :param open_s: Seconds without calls before a probe is allowed.
    """

    def __init__(self, clock: Clock, threshold: int = 5, open_s: float = 2.0) -> None:
        self._clock = clock
        self._threshold = threshold
        self._open_s = open_s
        self._failures = 0
        self._opened_at: float | None = None
        self._probing = False

    @property
    def state(self) -> BreakerState:
        if self._opened_at is None:
            return BreakerState.CLOSED
        if self._clock.monotonic() - self._opened_at < self._open_s:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def allow(self) -> bool:
        """Returns whether a call may be made now; in the half-open state only one may."""
        match self.state:
            case BreakerState.CLOSED:
                return True
            case BreakerState.OPEN:
                return False
            case BreakerState.HALF_OPEN:
                if self._probing:
                    return False
                self._probing = True
                return True

    def on_success(self) -> None:
        """Records a successful call; closes the breaker."""
        self._failures = 0
        self._opened_at = None
        self._probing = False

    def on_failure(self) -> None:
        """Records a failed call; opens the breaker at the threshold or after a failed probe."""
        self._failures += 1
        if self._probing or self._failures >= self._threshold:
            self._opened_at = self._clock.monotonic()
            self._probing = False
