"""Fingerprints, which are hashes that identify a request when it is sent again."""

import xxhash


def request_fingerprint(service: str, method: str, path: str, body: bytes) -> int:
    """Return a hash of the content of a request without its headers."""
    hasher = xxhash.xxh3_64()
    hasher.update("\0".join((service, method, path, "")).encode())
    hasher.update(body)
    return hasher.intdigest()
