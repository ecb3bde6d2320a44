"""Bodies that are too long to be copied or sent in one piece, as a sequence of blocks.

Blocks of one size are reused by the allocator, and a block is passed from the socket of a caller to
that of a target without being copied into a contiguous body.
"""

from collections.abc import Iterator
from typing import Final

import attrs
import xxhash

BLOCK_BYTES: Final = 64 * 1024
"""Maximum size of a block; a body up to this size is not divided."""


@attrs.frozen
class LongBody:
    """A complete body in blocks."""

    blocks: tuple[bytes, ...]
    size: int

    def content_hash(self) -> int:
        """Return a hash of the content, whatever its division."""
        hasher = xxhash.xxh3_64()
        for block in self.blocks:
            hasher.update(block)
        return int(hasher.intdigest())


@attrs.define(eq=False)
class BodyBuffer:
    """Collect the parts of a body into blocks."""

    _blocks: list[bytes] = attrs.field(factory=list)
    _tail: bytearray = attrs.field(factory=bytearray)
    _size: int = 0

    @property
    def size(self) -> int:
        """Return the number of bytes collected."""
        return self._size

    def append(self, part: bytes) -> None:
        """Add a part; small ones are joined, since each block has an overhead."""
        self._size += len(part)
        if len(part) > BLOCK_BYTES:
            self._end_block()
            self._blocks += divide(part)
            return
        if len(self._tail) + len(part) > BLOCK_BYTES:
            self._end_block()
        if not self._tail and len(part) > BLOCK_BYTES // 2:
            self._blocks.append(part)
        else:
            self._tail += part

    def take(self) -> tuple[bytes, LongBody | None]:
        """Return the body, in one piece if it is short."""
        self._end_block()
        blocks, size = self._blocks, self._size
        self._blocks, self._size = [], 0
        if size <= BLOCK_BYTES:
            return b"".join(blocks), None
        return b"", LongBody(tuple(blocks), size)

    def _end_block(self) -> None:
        if self._tail:
            self._blocks.append(bytes(self._tail))
            self._tail = bytearray()


def divide(body: bytes) -> Iterator[bytes]:
    """Return the blocks of a body that is in one piece."""
    for start in range(0, len(body), BLOCK_BYTES):
        yield body[start : start + BLOCK_BYTES]
