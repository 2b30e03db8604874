"""Messages and connections between entry instances."""

from azurecleat_peers._internal.network import (
    ConnectionRefusedByHostError,
    PeerNetwork,
    TcpPeerNetwork,
)
from azurecleat_peers._internal.server import PeerServer

__all__ = [
    "ConnectionRefusedByHostError",
    "PeerNetwork",
    "PeerServer",
    "TcpPeerNetwork",
]
