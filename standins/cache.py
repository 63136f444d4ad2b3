"""Prefix cache of the stand-in engine: blocks of prompts in limited memory."""

import collections
import hashlib

__all__ = ["PrefixCache"]

BLOCK_TOKENS = 16


class PrefixCache:
    """The most recently used prompt blocks.

    Parameters
    ----------
    most : int
        Blocks that it holds.
    """

    def __init__(self, max_blocks: int):
        self.max_blocks = max_blocks
        self.blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.hits = self.misses = 0

    def cache_prompt(self, prompt: str) -> int:
        """Return the prompt tokens to compute, and cache them."""
        words = prompt.split()
        todo, missed = 0, False
        for end in range(BLOCK_TOKENS, len(words) + BLOCK_TOKENS, BLOCK_TOKENS):
            block = hashlib.md5(" ".join(words[:end]).encode()).hexdigest()
            if block in self.blocks and not missed:
                self.hits += 1
                self.blocks.move_to_end(block)
                continue
            missed = True
            self.misses += 1
            todo += min(BLOCK_TOKENS, len(words) - end + BLOCK_TOKENS)
            self.blocks[block] = None
            if len(self.blocks) > self.max_blocks:
                self.blocks.popitem(last=False)
        return todo

    def clear(self) -> None:
        """Forget all blocks, as new weights ask for."""
        self.blocks.clear()
