"""The components of an instance that need no server of their own."""

from __future__ import annotations

import random
import time
import uuid
from collections.abc import Callable
from typing import NamedTuple

from azurecleat_coordination import Appender, Backoff, Log, Replica
from azurecleat_model import Clock
from azurecleat_peers import PeerNetwork
from azurecleat_peers.messages import Message, Unsupported
from azurecleat_platform import InstanceList, RunnerClient, Target

from azurecleat_daemon._internal.admission import Admission
from azurecleat_daemon._internal.membership import Membership
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.operators import Operators
from azurecleat_daemon._internal.partition_owner import Services
from azurecleat_daemon._internal.partitions import PartitionManager
from azurecleat_daemon._internal.router import Router
from azurecleat_daemon._internal.settings import EntrySettings
from azurecleat_daemon._internal.snapshot_writer import SnapshotWriter

APPEND_BACKOFF_S = 0.2
APPEND_BACKOFF_MAX_S = 5.0


def new_id() -> str:
    """Returns a random, globally unique id."""
    return uuid.uuid4().hex


class InstanceComponents(NamedTuple):
    """The connected components of an instance that need neither HTTP nor TCP."""

    replica: Replica
    appender: Appender
    membership: Membership
    partitions: PartitionManager
    router: Router
    operators: Operators
    admission: Admission
    snapshots: SnapshotWriter
    metrics: Metrics

    def handle(self, message: Message) -> Message:
        """Answers a message of a peer."""
        # Compare with None: an answer without fields is an empty tuple, which is falsy.
        for handler in (self.membership.handle, self.router.handle):
            answer = handler(message)
            if answer is not None:
                return answer
        return Unsupported()


class ComponentDependencies(NamedTuple):
    """External systems and settings that the components of an instance depend on.

    If ``threaded`` is False, partition owners start no threads and the caller makes all steps, for
    tests with a manual clock.
    """

    log: Log
    instances: InstanceList
    connect: Callable[[Target], RunnerClient]
    network: PeerNetwork
    clock: Clock
    incarnation: str
    threaded: bool = True
    sleep: Callable[[float], None] = time.sleep
    new_id: Callable[[], str] = new_id


def wire_components(
    settings: EntrySettings, dependencies: ComponentDependencies
) -> InstanceComponents:
    """Creates and connects the components of an instance that need no server."""
    log, clock = dependencies.log, dependencies.clock
    incarnation, network = dependencies.incarnation, dependencies.network
    metrics = Metrics()
    replica = Replica(log, clock, frozenset(settings.partitions))
    backoff = Backoff(APPEND_BACKOFF_S, APPEND_BACKOFF_MAX_S, random.Random(incarnation))
    appender = Appender(
        log, replica, clock, incarnation, backoff, settings.timing.append_interval_s
    )
    membership = Membership(settings, incarnation, replica, appender, network, clock, metrics)
    services = Services(
        settings.instance,
        replica,
        appender,
        clock,
        metrics,
        dependencies.connect,
        settings.timing.lease_s,
        dependencies.threaded,
        dependencies.sleep,
        dependencies.new_id,
    )
    partitions = PartitionManager(settings, services, membership)
    router = Router(
        settings,
        replica,
        appender,
        partitions,
        membership,
        network,
        clock,
        metrics,
        dependencies.new_id,
    )
    return InstanceComponents(
        replica,
        appender,
        membership,
        partitions,
        router,
        Operators(replica, appender, membership, partitions),
        Admission(replica, membership, settings.operator_sha256),
        SnapshotWriter(
            settings.instance, replica, appender, membership, settings.bounds.snapshot_every
        ),
        metrics,
    )
