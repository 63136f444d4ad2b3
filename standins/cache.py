"""LRU cache of prompt prefixes, used by the fake model engine."""

import collections
import hashlib

__all__ = ["PrefixCache"]

BLOCK_TOKENS = 16


class PrefixCache:
    """LRU cache of prompt blocks.

    A block is identified by a digest of the prompt up to its end, so two prompts share
    the blocks of their common prefix only.

    Parameters
    ----------
    max_blocks : int
        Maximum number of cached blocks.
    """

    def __init__(self, max_blocks: int):
        self.max_blocks = max_blocks
        self.blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.hits = self.misses = 0

    def cache_prompt(self, prompt: str) -> int:
        """Cache the blocks of a prompt; return the number of uncached tokens."""
        words = prompt.split()
        uncached, missed = 0, False
        for end in range(BLOCK_TOKENS, len(words) + BLOCK_TOKENS, BLOCK_TOKENS):
            block = hashlib.md5(" ".join(words[:end]).encode()).hexdigest()
            if block in self.blocks and not missed:
                self.hits += 1
                self.blocks.move_to_end(block)
                continue
            missed = True
            self.misses += 1
            uncached += min(BLOCK_TOKENS, len(words) - end + BLOCK_TOKENS)
            self.blocks[block] = None
            if len(self.blocks) > self.max_blocks:
                self.blocks.popitem(last=False)
        return uncached

    def clear(self) -> None:
        """Remove all blocks: they are invalid once new weights are loaded."""
        self.blocks.clear()
