"""The order in which instances claim ownership."""

from __future__ import annotations

from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.records import InstanceEntry


def node_of(instance: str) -> str:
    """Returns the node of one life of an instance's process."""
    return instance.partition("#")[0]


class ClaimOrder:
    """Orders instances for a claim: those with more processor first, then the youngest.

    An owner's work grows with the targets, so that a larger machine serves better. A rolling
    restart comes last to those that started last, so that they keep ownership longest.

    :param instance: This life of the own instance.
    """

    def __init__(self, instance: str, replica: JobReplica) -> None:
        self._node = node_of(instance)
        self._replica = replica

    def count_ahead(self) -> int:
        """Counts the instances that are to claim before this one, the owner left out."""
        instances = self._replica.instances
        own = instances.get(self._node)
        owner = node_of(self._replica.claim.instance)
        return sum(
            own is None or _precedence(entry) > _precedence(own)
            for node, entry in instances.items()
            if node not in (owner, self._node)
        )


def _precedence(entry: InstanceEntry) -> tuple[float, float]:
    return entry.cores, entry.started
