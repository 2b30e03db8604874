"""An entry instance as a whole: starts its components and servers and stops them."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import NamedTuple

import waitress
from azurecleat_model.events import (
    INSTANCE_STARTED,
    INSTANCE_STOPPED,
    INSTANCE_STOPPING,
    LOG_REACHED,
    LOG_UNREACHABLE,
    log_event,
)
from azurecleat_model.exceptions import LogUnavailableError
from azurecleat_peers import PeerServer, TcpPeerNetwork
from azurecleat_platform import InstanceList

from azurecleat_daemon._internal.components import InstanceComponents
from azurecleat_daemon._internal.http_api import HttpApi
from azurecleat_daemon._internal.lifecycle import Periodic
from azurecleat_daemon._internal.settings import EntrySettings

EXTRA_THREADS = 8
"""Threads beyond ``bounds.callers``, to answer health checks and refusals when all callers wait."""

OVERSIZE_READ_BYTES = 1 << 20
"""Bytes beyond the body limit that are still read, so that the refusal is a problem document."""

PARTITION_STEP_S = 0.2
LIMIT_STEP_S = 0.5
SNAPSHOT_STEP_S = 5.0
DRAIN_GRACE_S = 5.0


class ApplicationDependencies(NamedTuple):
    """What an application starts, uses and stops, connected by the composition root."""

    components: InstanceComponents
    api: HttpApi
    peer_server: PeerServer
    network: TcpPeerNetwork
    instances: InstanceList
    on_stop: tuple[Callable[[], None], ...] = ()


class Application:
    """Starts and stops one entry instance.

    :param settings: Settings of the instance.
    :param dependencies: Components, servers and connections of the instance.
    """

    def __init__(self, settings: EntrySettings, dependencies: ApplicationDependencies) -> None:
        self._settings = settings
        self._dependencies = dependencies
        timing = settings.timing
        self._log_is_reachable = True
        self._last_position = 0
        self._log_poller = Periodic("log-tail", timing.poll_s, self._poll_log)
        self._partition_stepper = Periodic(
            "partitions", PARTITION_STEP_S, dependencies.components.partitions.step
        )
        dependencies.components.membership.set_new_entries_listener(self._log_poller.wake)
        self._periodics = [
            self._log_poller,
            self._partition_stepper,
            Periodic("instance-list", timing.list_s, self._poll_instance_list),
            Periodic(
                "membership", min(timing.status_s, 1.0) / 2, dependencies.components.membership.step
            ),
            Periodic("limits", LIMIT_STEP_S, dependencies.components.router.borrow_limits),
            Periodic("snapshots", SNAPSHOT_STEP_S, dependencies.components.snapshots.step),
        ]
        host, _, port = settings.callers.rpartition(":")
        self._http = waitress.create_server(
            dependencies.api,
            host=host,
            port=int(port),
            threads=settings.bounds.callers + EXTRA_THREADS,
            ident=None,
            max_request_body_size=settings.bounds.body_bytes + OVERSIZE_READ_BYTES,
            channel_timeout=30,
            connection_limit=1000,
            backlog=256,
            clear_untrusted_proxy_headers=True,
        )
        self._http_thread = threading.Thread(target=self._serve_http, name="http", daemon=True)
        self._stopped = threading.Event()
        self._stop_lock = threading.Lock()

    @property
    def dependencies(self) -> ApplicationDependencies:
        return self._dependencies

    @property
    def callers_address(self) -> str:
        return f"{self._http.effective_host}:{self._http.effective_port}"

    def start(self) -> None:
        """Starts all components and servers."""
        self._dependencies.components.membership.set_address(self._dependencies.peer_server.address)
        self._dependencies.peer_server.start()
        self._dependencies.components.appender.start()
        for periodic in self._periodics:
            periodic.start()
        self._http_thread.start()
        log_event(
            INSTANCE_STARTED,
            instance=self._settings.instance,
            zone=self._settings.zone,
            port=self._http.effective_port,
        )

    def stop(self) -> None:
        """Stops gracefully: refuses new work, finishes current work, releases partitions."""
        with self._stop_lock:
            if self._stopped.is_set():
                return
            log_event(INSTANCE_STOPPING, instance=self._settings.instance)
            self._dependencies.api.drain()
            longest_s = self._longest_deadline_s()
            self._dependencies.api.wait_until_idle(longest_s)
            self._dependencies.components.partitions.release_all(longest_s)
            self._dependencies.components.membership.leave()
            self._close()
            self._stopped.set()
            log_event(INSTANCE_STOPPED, instance=self._settings.instance)

    def kill(self) -> None:
        """Stops at once without releasing partitions, like a crash; for tests."""
        self._dependencies.api.drain()
        for local_owner in self._dependencies.components.partitions.local_owners.values():
            local_owner.stop()
        self._close()
        self._stopped.set()

    def _close(self) -> None:
        for periodic in self._periodics:
            periodic.stop()
        self._dependencies.peer_server.stop()
        self._dependencies.network.close()
        self._dependencies.components.appender.stop()
        self._dependencies.components.membership.close()
        self._http.close()
        self._http_thread.join(DRAIN_GRACE_S)
        for hook in self._dependencies.on_stop:
            hook()

    def _longest_deadline_s(self) -> float:
        # Each request ends by its own deadline, which a caller may set to an hour at most.
        return 3600.0 + DRAIN_GRACE_S

    def _serve_http(self) -> None:
        try:
            self._http.run()
        except OSError:
            # Expected on stop: waitress's loop ends with an error when its listener is closed.
            return

    def _poll_log(self) -> None:
        try:
            self._dependencies.components.replica.catch_up()
        except LogUnavailableError as error:
            if self._log_is_reachable:
                log_event(LOG_UNREACHABLE, error=error)
            self._log_is_reachable = False
            return
        if not self._log_is_reachable:
            log_event(LOG_REACHED, offset=self._dependencies.components.replica.position)
        self._log_is_reachable = True
        if self._dependencies.components.replica.position != self._last_position:
            self._last_position = self._dependencies.components.replica.position
            self._partition_stepper.wake()

    def _poll_instance_list(self) -> None:
        try:
            targets = self._dependencies.instances.targets()
        except LogUnavailableError:
            # Known targets stay in use while the instance list is unreachable.
            self._dependencies.components.partitions.keep_known_targets()
            return
        self._dependencies.components.partitions.set_targets(targets)
