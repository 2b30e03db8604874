"""Value types of the cluster."""

from azurecleat_cluster._internal.values import *  # noqa: F403
