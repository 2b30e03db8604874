"""Rendezvous hashing: all instances compute the same order without communication.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates in order of preference for ``key``, best first."""
    return sorted(candidates, key=lambda candidate: (_weight(key, candidate), candidate))


def _weight(key: str, candidate: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
