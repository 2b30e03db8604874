"""Authentication of callers and operators."""

from __future__ import annotations

import hmac

from azurecleat_coordination import Proof, Replica
from azurecleat_model import hash_token

from azurecleat_daemon._internal.membership import Membership
from azurecleat_daemon._internal.refusal import RefusalError


class Admission:
    """Checks bearer tokens against keys that are proven to be up to date.

    :param operator_sha256: Hash of the operators' token; empty disables the operators' API.
    """

    def __init__(self, replica: Replica, membership: Membership, operator_sha256: str) -> None:
        self._replica = replica
        self._membership = membership
        self._operator_sha256 = operator_sha256

    def team(self, token: str) -> str:
        """Returns the team that a caller's token belongs to.

        :raises RefusalError: The key is not valid, or there is no proof that it still is.
        """
        if self._membership.proof() is Proof.NONE:
            raise RefusalError(
                "keys-not-fresh",
                "this instance is cut off and cannot tell which keys are still valid",
                retry_after_s=5.0,
                step="admit.key",
            )
        with self._replica.lock:
            configuration = self._replica.fleet.configuration
            team = configuration.authenticate(token, self._membership.pending)
        if team is None:
            raise RefusalError("unauthorized", "the key is not valid", status=401, step="admit.key")
        return team

    def open_team(self, name: str) -> str:
        """Returns the team of a queue that accepts work without a key.

        :raises RefusalError: There is no such queue.
        """
        with self._replica.lock:
            team = self._replica.fleet.configuration.teams.get(name)
        if team is None or not team.open:
            raise RefusalError("unauthorized", f"{name!r} is no open queue", status=401)
        return name

    def check_operator(self, token: str) -> None:
        """Checks the operators' token.

        :raises RefusalError: The token is not valid.
        """
        if not self._operator_sha256 or not hmac.compare_digest(
            hash_token(token), self._operator_sha256
        ):
            raise RefusalError("forbidden", "the operator token is not valid", status=403)
