"""Encodes calls to the downstream service, and tells what each reply proves about the call."""

from crowwing.contract import Outcome
from crowwing.protocol.reply import Reply

SERVER_IDLE_TIMEOUT = 10.0  # seconds after which the downstream service closes an idle connection


def encode_call(request_id: str, time_limit: int, host: str, body: bytes) -> bytes:
    """`time_limit` is the time that the caller waits, in microseconds."""
    head = (
        f"POST /rpc/call HTTP/1.1\r\nHost: {host}\r\nParent-Call: {request_id}\r\n"
        f"Deadline-Ms: {max(1, time_limit // 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def classify_reply(reply: Reply) -> Outcome:
    if reply.status == 200:
        return Outcome.GOOD
    if reply.rejected and reply.status in (503, 409):
        return Outcome.NEVER_RAN
    return Outcome.UNSURE if reply.status == 504 else Outcome.FAILED
