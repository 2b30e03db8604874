"""Components of an instance, for benchmarks that run one of them with fakes around it."""

from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdviceClient
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.command_threads import CommandThreads
from azurecleat_cluster._internal.owner.dispatch import Dispatcher
from azurecleat_cluster._internal.owner.model import JobInfo
from azurecleat_cluster._internal.owner.progress import ProgressWriter
from azurecleat_cluster._internal.owner.start_horizon import StartHorizon
from azurecleat_cluster._internal.owner.target_session import LossTracker, TargetSession
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.records import SUBMISSION, Submission, encode_submission

__all__ = [
    "SUBMISSION",
    "AdviceClient",
    "Authority",
    "CommandThreads",
    "ConfigurationView",
    "Dispatcher",
    "JobReplica",
    "JobInfo",
    "LossTracker",
    "Metrics",
    "OwnerTerm",
    "ProgressWriter",
    "StartHorizon",
    "Submission",
    "TargetSession",
    "encode_submission",
]
