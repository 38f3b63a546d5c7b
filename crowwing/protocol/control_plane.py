"""Readiness reports to the control plane."""

import orjson

from crowwing.protocol.reply import Reply

REPORT_LIFETIME = 3.0  # seconds that a backend stays listed after its last report


def encode_report(name: str, ready: bool, host: str) -> bytes:
    body = orjson.dumps({"condition": "Ready" if ready else "NotReady"})
    head = f"PUT /v2/endpoints/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def is_acknowledged(reply: Reply) -> bool:
    return reply.status == 204
