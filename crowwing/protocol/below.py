"""Calls to the back end, and what each of its replies proves."""

from crowwing.contract import Outcome
from crowwing.protocol.reply import Reply

IDLE_CLOSED = 10.0  # seconds after which the back end closes an idle connection


def call(ident: str, span: int, host: str, body: bytes) -> bytes:
    """`span` in microseconds: how long we wait."""
    head = (
        f"POST /rpc/call HTTP/1.1\r\nHost: {host}\r\nParent-Call: {ident}\r\n"
        f"Deadline-Ms: {max(1, span // 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def outcome(reply: Reply) -> Outcome:
    if reply.status == 200:
        return Outcome.GOOD
    if reply.turned_away and reply.status in (503, 409):
        return Outcome.NEVER_RAN
    return Outcome.UNSURE if reply.status == 504 else Outcome.FAILED
