"""Composition root and life cycle of one instance."""

from __future__ import annotations

import secrets
import threading
from typing import NamedTuple

from azurecleat_base import Clock
from azurecleat_base.exceptions import LogError

from azurecleat_cluster._internal import eventlog
from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.eventlog import EventLog
from azurecleat_cluster._internal.features import NO_FEATURES, Features
from azurecleat_cluster._internal.front.relay import PeerRelay, Relay
from azurecleat_cluster._internal.front.request_handler import FrontLimits, RequestHandler
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.service import OwnerService
from azurecleat_cluster._internal.owner.term import Connect
from azurecleat_cluster._internal.owner.term_runner import (
    OwnerDependencies,
    OwnerPorts,
    OwnerSettings,
)
from azurecleat_cluster._internal.peers import (
    BackOff,
    PeerAdviser,
    PeerApplication,
    PeerOwnerClient,
    send_release_notices,
)
from azurecleat_cluster._internal.ports import (
    CONFIGURATION,
    JOBS,
    PROGRESS,
    Adviser,
    Decoder,
    Directory,
    Log,
)
from azurecleat_cluster._internal.relay_client import RelayClient, RelayService
from azurecleat_cluster._internal.replica import records
from azurecleat_cluster._internal.replica.appender import GroupAppender
from azurecleat_cluster._internal.replica.follower import Follower
from azurecleat_cluster._internal.replica.jobs import JobReplica

CONFIGURATION_READ_WAIT_S = 0.8
"""Maximum wait of a read of the configuration stream. Twice this plus the time for an answer stays
below the bound on the age of the configuration."""

RELEASE_TIMEOUT_S = 3.0
REGISTER_TIMEOUT_S = 1.5


class InstanceSettings(NamedTuple):
    """Settings of an instance.

    :param peer_address: Address at which other instances reach this one.
    :param cores: Processor capacity of this instance, in cores of standard speed.
    :param features: The optional features that are on.
    """

    node: str
    zone: str
    peer_address: str
    front: FrontLimits
    owner: OwnerSettings
    cores: float = 1.0
    features: Features = NO_FEATURES


class InstancePorts(NamedTuple):
    """Adapters to the external systems that an instance uses."""

    log: Log
    decoder: Decoder
    connect: Connect
    adviser: Adviser | None = None
    directory: Directory | None = None


class Instance:
    """One instance: creates its components, and starts and stops them in order."""

    def __init__(
        self, settings: InstanceSettings, ports: InstancePorts, clock: Clock, events: EventLog
    ) -> None:
        self._settings = settings
        self._ports = ports
        self._clock = clock
        self._events = events
        self._draining = False
        self._stopping = threading.Event()
        self.name = f"{settings.node}#{secrets.token_hex(3)}"
        self.metrics = Metrics()
        self.configuration = ConfigurationView(ports.decoder, events)
        self.replica = JobReplica(clock.monotonic)
        self._config_follower = Follower(
            ports.log, CONFIGURATION, self.configuration.apply, clock, events
        )
        self._jobs_follower = Follower(ports.log, JOBS, self.replica.apply_job, clock, events)
        self._progress_follower = Follower(
            ports.log, PROGRESS, self.replica.apply_progress, clock, events
        )
        self._appender = GroupAppender(ports.log, JOBS, self._jobs_follower.apply_appended)
        backoff = BackOff(clock)
        peers = PeerOwnerClient(self.name, settings.peer_address, self.replica, clock, backoff)
        self._relay = self._make_relay(peers, backoff)
        self.owner = OwnerService(
            OwnerDependencies(
                self.name,
                settings.peer_address,
                settings.owner,
                OwnerPorts(
                    ports.log,
                    ports.decoder,
                    ports.connect,
                    ports.adviser,
                    PeerAdviser,
                    ports.directory,
                ),
                self.replica,
                self._jobs_follower,
                self._progress_follower,
                self.configuration,
                clock,
                events,
                self.metrics,
            ),
            self._notify_release,
        )
        self.request_handler = RequestHandler(
            self.configuration,
            self._config_follower,
            self.replica,
            self._jobs_follower,
            self._appender,
            peers,
            settings.front,
            clock,
            events,
            self.metrics,
            self._relay,
            settings.features,
        )
        self.peer_application = PeerApplication(
            self.replica,
            self._appender,
            self.owner,
            ports.adviser,
            lambda: self._config_follower.is_log_lost,
            self._make_relay_service() if settings.features.relay else None,
        )

    def _make_relay(self, peers: PeerOwnerClient, backoff: BackOff) -> Relay:
        if not self._settings.features.relay:
            return Relay(self._config_follower)
        client = RelayClient(
            self._settings.peer_address,
            self.replica,
            backoff,
            peers.batcher_address,
            self._clock,
        )
        return PeerRelay(
            self._settings.zone,
            self.configuration,
            self._config_follower,
            client,
            self._clock,
            self._events,
            self.metrics,
            self._settings.front.balancer_removal_s,
        )

    def _make_relay_service(self) -> RelayService:
        return RelayService(
            self.configuration,
            self._config_follower,
            self.replica,
            self._jobs_follower,
            self._progress_follower,
            lambda: self.owner.term is not None,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send new connections to this instance."""
        return (
            not self._draining
            and self.configuration.current is not None
            and not self._config_follower.is_failing
            and self._config_follower.age() < self._settings.front.max_age_to_admit_s
        )

    def start(self) -> None:
        """Starts following the log. Requests are refused until the first configuration is read."""
        self._appender.start()
        threading.Thread(
            target=self._config_follower.run,
            args=(self._stopping, CONFIGURATION_READ_WAIT_S, self._on_read_error),
            name="follow-configuration",
            daemon=True,
        ).start()
        if self._settings.features.relay:
            threading.Thread(
                target=self._relay.run, args=(self._stopping,), name="relay", daemon=True
            ).start()
        threading.Thread(target=self._register, name="register", daemon=True).start()
        self.owner.start()
        self._events.write(
            eventlog.INSTANCE_STARTED, zone=self._settings.zone, address=self._settings.peer_address
        )

    def drain(self) -> None:
        """Gives up ownership and reports not ready. Callers are still served."""
        self._draining = True
        self.owner.retire(RELEASE_TIMEOUT_S)

    def stop(self) -> None:
        """Gives up ownership, appends the queued records and tells the threads to stop."""
        self._stopping.set()
        self._relay.wake()
        self.owner.stop()
        self._appender.stop()

    def _register(self) -> None:
        """Announces this instance to the others; retries until its entry is in the log."""
        entry = records.InstanceEntry(
            self._settings.peer_address, self._clock.wall(), self._settings.cores
        )
        node = self._settings.node
        entries = [(records.INSTANCE + node, records.encode_instance(entry))]
        if self._settings.features.relay:
            entries.append((records.ZONE + node, self._settings.zone.encode()))
        while not self._stopping.is_set():
            try:
                self._ports.log.append(JOBS, entries, REGISTER_TIMEOUT_S)
                return
            except LogError as error:
                self._count_log_error(JOBS, error)
                self._stopping.wait(0.3)

    def _on_read_error(self, stream: str, error: LogError) -> None:
        self._count_log_error(stream, error)
        self._relay.wake()

    def _count_log_error(self, stream: str, error: LogError) -> None:
        self.metrics.log_errors.labels(stream).inc()

    def _notify_release(self, epoch: int) -> None:
        """Notifies the other instances that this instance has released ownership."""
        known = {entry.address for entry in self.replica.instances.values()}
        send_release_notices(known - {self._settings.peer_address}, epoch)
