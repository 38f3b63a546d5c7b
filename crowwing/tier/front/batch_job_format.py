"""Parses and validates the body of a batch job submission.

Each item is later sent to a sidecar as a request of its own. Values that are not valid in an HTTP request are
rejected here, before any item is accepted: after the 202 the client could no longer be told.
"""

import base64
import binascii
import json
import re
from typing import Any

from crowwing.tier.front.errors import MalformedBatchJobError
from crowwing.tier.front.whole_numbers import MAX_WHOLE_NUMBER
from crowwing.tier.state.events import BatchItem

MAX_ITEMS = 200
# Syntax of RFC 9110 (5.1, 5.5) and RFC 9112 (3.2).
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_REQUEST_ID = re.compile(r"[\x21-\x7e\x80-\xff]([\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?")
_REQUEST_TARGET = re.compile(r"/[\x21-\x7e]*")


def parse_batch_job(body: bytes) -> tuple[BatchItem, ...]:
    """Parses the items of a batch job; raises MalformedBatchJobError if the body is invalid."""
    try:
        requests = json.loads(body)["requests"]
        items = tuple(parse_item(entry) for entry in requests)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, binascii.Error) as error:
        reason = f"{type(error).__name__}: {error}"
        raise MalformedBatchJobError(reason) from error
    if not 0 < len(items) <= MAX_ITEMS:
        reason = f"requests: 1 to {MAX_ITEMS} are taken, these are {len(items)}"
        raise MalformedBatchJobError(reason)
    if len({item.id for item in items}) < len(items):
        reason = "requests: two have the same id"
        raise MalformedBatchJobError(reason)
    return items


def parse_item(entry: dict[str, Any]) -> BatchItem:
    """Parses one item; raises KeyError, TypeError, AttributeError or ValueError if it is invalid."""
    item_id = _match(_REQUEST_ID, str(entry["id"]), "id")
    path = _match(_REQUEST_TARGET, str(entry["path"]), "path")
    headers = tuple(
        (
            _match(_HEADER_NAME, str(name), "headers"),
            _match(_HEADER_VALUE, str(value), "headers").strip(" \t"),
        )
        for name, value in (entry.get("headers") or {}).items()
    )
    body = base64.b64decode(entry.get("body") or "", validate=True)
    return BatchItem(item_id, path, headers, body, _parse_tokens(entry.get("tokens")))


def _match(pattern: re.Pattern[str], text: str, field: str) -> str:
    """Returns the text; raises ValueError if it is not valid in an HTTP request."""
    if pattern.fullmatch(text) is None:
        reason = f"{field}: can't stand in a request"
        raise ValueError(reason)
    return text


def _parse_tokens(value: object) -> int:
    """Parses a token count; 0 if it is missing."""
    if not isinstance(value, (int, float, str, type(None))) or not 0 <= float(value or 0) <= MAX_WHOLE_NUMBER:
        reason = "tokens: must be a whole number"
        raise ValueError(reason)
    return int(float(value or 0))
