"""The order in which instances claim ownership."""

from __future__ import annotations

from azurecleat_cluster._internal.replica.jobs import JobReplica
from azurecleat_cluster._internal.replica.records import InstanceEntry


def node_of(instance: str) -> str:
    """Returns the node name in an instance id; the rest of the id identifies the incarnation."""
    return instance.partition("#")[0]


class ClaimOrder:
    """Orders the instances for a claim: most processor cores first, then most recently started.

    An owner's load grows with the number of targets, so a larger machine serves it better. A
    rolling restart reaches the most recently started instances last, so they keep ownership the
    longest.

    :param instance: Id of this instance's incarnation.
    """

    def __init__(self, instance: str, replica: JobReplica) -> None:
        self._node = node_of(instance)
        self._replica = replica

    def count_ahead(self) -> int:
        """Returns the number of instances, without the owner, that claim before this one."""
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
