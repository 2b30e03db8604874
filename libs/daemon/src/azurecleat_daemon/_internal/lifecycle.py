"""Starting, stopping and periodic execution of an instance's components."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from azurecleat_model.events import COMPONENT_FAILED, log_event


class Component(Protocol):
    """A component of an instance that is started and stopped."""

    def start(self) -> None:
        """Starts the component."""

    def stop(self) -> None:
        """Stops the component and releases its resources."""


class Periodic:
    """Calls a function periodically in its own thread, or sooner when woken.

    :param name: Name of the thread.
    :param period_s: Longest time between two calls in seconds, or a function that returns it.
    :param step: The function to call; an exception is logged and does not end the thread.
    """

    def __init__(
        self, name: str, period_s: float | Callable[[], float], step: Callable[[], None]
    ) -> None:
        self._name = name
        self._period_s = period_s
        self._step = step
        self._wakeup = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def wake(self) -> None:
        """Triggers the next call at once."""
        self._wakeup.set()

    def stop(self) -> None:
        """Waits for the current call and ends the thread."""
        self._stopping = True
        self._wakeup.set()
        if self._thread.is_alive() and self._thread is not threading.current_thread():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._step()
            except Exception as error:  # One failed step must not end the component.
                log_event(COMPONENT_FAILED, component=self._name, error=repr(error))
            period = self._period_s() if callable(self._period_s) else self._period_s
            self._wakeup.wait(period)
            self._wakeup.clear()
