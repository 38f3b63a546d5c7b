"""Whole numbers in headers and bodies from clients, sidecars and the platform.

`str.isdigit` takes digits of any script and superscripts, which `int` reads otherwise or not at all; and
`int` refuses texts of thousands of digits with an error. Numbers from outside are read here only.
"""

MAX_WHOLE_NUMBER = 2**53 - 1  # the largest that every reader of JSON keeps exactly (RFC 8259)
_MAX_DIGITS = len(str(MAX_WHOLE_NUMBER))


def parse_whole_number(text: str | bytes, max_value: int = MAX_WHOLE_NUMBER) -> int | None:
    """Reads a number that is written in ASCII digits and nothing else.

    Args:
        text: The digits; no sign, and no space around them.
        max_value: The largest number that is accepted.

    Returns:
        The number; None where the text is no such number, or one that is too large.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text if isinstance(text, str) else text.decode("ascii")
    significant = digits.lstrip("0")
    if len(significant) > _MAX_DIGITS:
        return None
    number = int(significant or "0")
    return number if number <= max_value else None
