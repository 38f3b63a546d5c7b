"""An estimate of which prompt blocks a sidecar has in its prefix cache."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from crowwing.tier.front.whole_numbers import parse_whole_number

MAX_CACHED_BLOCKS = 4000  # tracked for each sidecar


@dataclass(frozen=True)
class PromptBlock:
    """One block of a prompt: its id and its number of tokens."""

    id: str
    tokens: int


def parse_prompt_prefix(header: str) -> tuple[PromptBlock, ...]:
    """Parses a `Prompt-Prefix` header, `id:tokens,id:tokens,...`; invalid entries are skipped."""
    blocks: list[PromptBlock] = []
    for entry in header.split(","):
        name, _, count = entry.strip().partition(":")
        tokens = parse_whole_number(count)
        if name and tokens is not None:
            blocks.append(PromptBlock(name, tokens))
    return tuple(blocks)


class PrefixCache:
    """A front's estimate of the prefix cache of one sidecar: the blocks it processed last.

    Owned by the sidecar's `SidecarState`. Blocks are added when a response starts; routing asks how many
    tokens of a prompt are not cached.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._block_ids: OrderedDict[str, None] = OrderedDict()

    def add(self, blocks: Iterable[PromptBlock]) -> None:
        """Records that these blocks were processed; evicts the least recently used ones."""
        for block in blocks:
            self._block_ids[block.id] = None
            self._block_ids.move_to_end(block.id)
        while len(self._block_ids) > MAX_CACHED_BLOCKS:
            self._block_ids.popitem(last=False)

    def uncached_tokens(self, blocks: tuple[PromptBlock, ...]) -> int:
        """Returns the number of tokens to prefill: all from the first block that is not cached."""
        for index, block in enumerate(blocks):
            if block.id not in self._block_ids:
                return sum(later.tokens for later in blocks[index:])
        return 0
