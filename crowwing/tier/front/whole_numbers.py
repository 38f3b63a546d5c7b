"""Parsing of whole numbers in headers and bodies from clients, sidecars and the platform.

`str.isdigit` accepts digits of any script and superscripts, which `int` reads differently or rejects; and
`int` raises an error for thousands of digits. External numbers are parsed only here.
"""

MAX_WHOLE_NUMBER = 2**53 - 1  # the largest that every JSON parser represents exactly (RFC 8259)
_MAX_DIGITS = len(str(MAX_WHOLE_NUMBER))


def parse_whole_number(text: str | bytes, max_value: int = MAX_WHOLE_NUMBER) -> int | None:
    """Parses a number that consists of ASCII digits only.

    Args:
        text: The digits; no sign, and no space around them.
        max_value: The largest accepted number.

    Returns:
        The number; None if the text is not such a number or it is too large.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text if isinstance(text, str) else text.decode("ascii")
    significant = digits.lstrip("0")
    if len(significant) > _MAX_DIGITS:
        return None
    number = int(significant or "0")
    return number if number <= max_value else None
