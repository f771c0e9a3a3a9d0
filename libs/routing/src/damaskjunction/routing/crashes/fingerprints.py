"""The hash that equal requests share."""

from __future__ import annotations

import hashlib

from damaskjunction.core import ServiceName

FINGERPRINT_BYTES = 16


def fingerprint_of(service: ServiceName, path: str, body: bytes) -> str:
    """Return the hexadecimal hash that equal requests to a service share."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{service}\0{path}\0".encode())
    digest.update(body)
    return digest.hexdigest()
