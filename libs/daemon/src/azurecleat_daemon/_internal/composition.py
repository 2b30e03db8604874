"""The composition root: wires the parts of an instance."""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable

from azurecleat_coordination import Appender, Backoff, Log, Replica
from azurecleat_model import Clock, SystemClock
from azurecleat_peers import PeerServer, TcpPeerNetwork
from azurecleat_peers.messages import Hello, Message, Unsupported
from azurecleat_platform import (
    HttpInstanceList,
    HttpLog,
    HttpTarget,
    InstanceList,
    RunnerClient,
    Target,
)

from azurecleat_daemon._internal.admission import Admission
from azurecleat_daemon._internal.application import Application, Parts
from azurecleat_daemon._internal.engine import Services
from azurecleat_daemon._internal.housekeeping import SnapshotWriter
from azurecleat_daemon._internal.http_api import HttpApi
from azurecleat_daemon._internal.membership import Membership
from azurecleat_daemon._internal.metrics import Metrics
from azurecleat_daemon._internal.operators import Operators
from azurecleat_daemon._internal.partitions import PartitionManager
from azurecleat_daemon._internal.router import Router
from azurecleat_daemon._internal.settings import EntrySettings

APPEND_BACKOFF_S = 0.2
APPEND_BACKOFF_MAX_S = 5.0


def build_application(settings: EntrySettings) -> Application:
    """Builds an instance that reaches the platform over HTTP."""
    log = HttpLog(settings.log)
    instances = HttpInstanceList(settings.instances)
    return wire(
        settings,
        log,
        instances,
        lambda target: HttpTarget(target.name, target.address),
        SystemClock(),
        on_stop=(log.close, instances.close),
    )


def wire(
    settings: EntrySettings,
    log: Log,
    instances: InstanceList,
    connect: Callable[[Target], RunnerClient],
    clock: Clock,
    on_stop: tuple[Callable[[], None], ...] = (),
) -> Application:
    """Builds an instance on given adapters."""
    incarnation = uuid.uuid4().hex
    metrics = Metrics()
    replica = Replica(log, clock, frozenset(settings.partitions))
    backoff = Backoff(APPEND_BACKOFF_S, APPEND_BACKOFF_MAX_S, random.Random(incarnation))
    appender = Appender(log, replica, clock, incarnation, backoff)
    network = TcpPeerNetwork(Hello(settings.instance, incarnation, settings.zone))
    membership = Membership(settings, incarnation, replica, appender, network, clock, metrics)
    services = Services(
        settings.instance,
        replica,
        appender,
        clock,
        metrics,
        connect,
        settings.timing.lease_s,
        threaded=True,
    )
    partitions = PartitionManager(settings, services, membership)
    router = Router(settings, replica, appender, partitions, membership, network, clock, metrics)
    admission = Admission(replica, membership, settings.operator_sha256)
    operators = Operators(replica, appender, membership, partitions)
    api = HttpApi(settings, router, admission, operators, metrics, lambda: replica.is_ready)
    snapshots = SnapshotWriter(
        settings.instance, replica, appender, membership, settings.bounds.snapshot_every
    )

    def handle(message: Message) -> Message:
        return membership.handle(message) or router.handle(message) or Unsupported()

    parts = Parts(
        replica,
        appender,
        membership,
        partitions,
        router,
        operators,
        snapshots,
        api,
        PeerServer(settings.peers, handle),
        network,
        instances,
        on_stop,
    )
    return Application(settings, parts)
