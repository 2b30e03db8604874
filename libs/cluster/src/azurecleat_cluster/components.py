"""Parts of an instance, for measurements that put stand-ins around one of them."""

from azurecleat_cluster._internal.configuration import ConfigurationView
from azurecleat_cluster._internal.metrics import Metrics
from azurecleat_cluster._internal.owner.advice import AdvicePool
from azurecleat_cluster._internal.owner.authority import Authority
from azurecleat_cluster._internal.owner.dispatch import Dispatcher
from azurecleat_cluster._internal.owner.link import Losses, TargetLink
from azurecleat_cluster._internal.owner.progress import ProgressWriter
from azurecleat_cluster._internal.owner.term import OwnerTerm
from azurecleat_cluster._internal.owner.work import JobWork
from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.records import SUBMISSION, Submission, encode_submission

__all__ = [
    "SUBMISSION",
    "AdvicePool",
    "Authority",
    "ConfigurationView",
    "Dispatcher",
    "JobReplica",
    "JobWork",
    "Losses",
    "Metrics",
    "OwnerTerm",
    "ProgressWriter",
    "Submission",
    "TargetLink",
    "encode_submission",
]
