"""Reports to the control plane."""

import orjson

from crowwing.protocol.reply import Reply

LAPSE = 3.0  # seconds after the last report in which a backend stays listed


def report(name: str, ready: bool, host: str) -> bytes:
    body = orjson.dumps({"condition": "Ready" if ready else "NotReady"})
    head = f"PUT /v2/endpoints/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def counted(reply: Reply) -> bool:
    return reply.status == 204
