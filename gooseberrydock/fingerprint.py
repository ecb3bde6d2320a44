"""Fingerprints: hashes by which a request is recognised when it comes again."""

import xxhash


def request_fingerprint(service: str, method: str, path: str, body: bytes) -> int:
    """Return a hash of what a request asks, without its headers."""
    hasher = xxhash.xxh3_64()
    hasher.update("\0".join((service, method, path, "")).encode())
    hasher.update(body)
    return hasher.intdigest()
