"""Parsing of prompt prefixes."""

from crowwing.tier.front.prefix_cache import PromptBlock, parse_prompt_prefix


def test_a_prompt_prefix_is_read_as_its_blocks() -> None:
    assert parse_prompt_prefix("5c1e:800,91bd:410, junk,x:y") == (
        PromptBlock("5c1e", 800),
        PromptBlock("91bd", 410),
    )
