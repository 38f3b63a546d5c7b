"""Which blocks of prompts a sidecar has in its prefix cache, as far as a front can tell."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from crowwing.tier.front.whole_numbers import parse_whole_number

MAX_CACHED_BLOCKS = 4000  # remembered for each sidecar


@dataclass(frozen=True)
class PromptBlock:
    """One block of a prompt: its id, and how many tokens it has."""

    id: str
    tokens: int


def parse_prompt_prefix(header: str) -> tuple[PromptBlock, ...]:
    """Reads a `Prompt-Prefix` header, `id:tokens,id:tokens,...`; entries that can't be read are left out."""
    blocks: list[PromptBlock] = []
    for entry in header.split(","):
        name, _, count = entry.strip().partition(":")
        tokens = parse_whole_number(count)
        if name and tokens is not None:
            blocks.append(PromptBlock(name, tokens))
    return tuple(blocks)


class PrefixCache:
    """A front's estimate of one sidecar's prefix cache: the blocks that it read last.

    Owned by the sidecar's `SidecarState`. The dispatcher adds blocks when a response starts; routing asks
    how many tokens of a prompt would have to be read.
    """

    def __init__(self) -> None:
        """Nothing is known to be cached."""
        self._block_ids: OrderedDict[str, None] = OrderedDict()

    def add(self, blocks: Iterable[PromptBlock]) -> None:
        """Records that these blocks have been read; the least recently used ones are forgotten."""
        for block in blocks:
            self._block_ids[block.id] = None
            self._block_ids.move_to_end(block.id)
        while len(self._block_ids) > MAX_CACHED_BLOCKS:
            self._block_ids.popitem(last=False)

    def uncached_tokens(self, blocks: tuple[PromptBlock, ...]) -> int:
        """The tokens that would have to be read: all from the first block on that is not cached."""
        for index, block in enumerate(blocks):
            if block.id not in self._block_ids:
                return sum(later.tokens for later in blocks[index:])
        return 0
