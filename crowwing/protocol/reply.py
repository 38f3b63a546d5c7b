"""Parser for one HTTP reply of the downstream service or the control plane."""

from typing import NamedTuple

import httptools

MAX_REPLY_BYTES = 1 << 16
STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9112, 6.3: they have no body, so they need no length


class Reply(NamedTuple):
    status: int
    rejected: bool
    body: bytes


class ReplyReader:
    """Incremental parser; `reusable` says whether the connection can carry another exchange."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.reusable = self.rejected = False
        self.bytes_read, self.body = 0, bytearray()
        self.reply: Reply | None = None
        self.framed = self.headers_complete = False

    def feed(self, view: memoryview) -> Reply | None:
        """Returns the reply once it is complete; raises ValueError for data that is not a reply."""
        self.bytes_read += len(view)
        if self.bytes_read > 2 * MAX_REPLY_BYTES:
            raise ValueError("the reply is larger than its limit")
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.reply is None:
                raise ValueError(f"not an HTTP reply: {error}") from None
            self.reusable = False  # the reply was complete before the invalid bytes
        return self.reply

    def end(self) -> Reply | None:
        """Handles end of stream, which completes a reply only if no length delimits it."""
        if self.framed or not self.headers_complete:
            return None
        return Reply(self.parser.get_status_code(), self.rejected, bytes(self.body))

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        self.reusable = False  # a second reply follows a complete one
        if self.reply is None:
            self.rejected = self.framed = self.headers_complete = False
            self.body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"turned-away":
            self.rejected = value.strip() == b"1"
        elif name in (b"content-length", b"transfer-encoding"):
            self.framed = True

    def on_headers_complete(self) -> None:
        self.headers_complete = self.parser.get_status_code() >= 200

    def on_body(self, chunk: bytes) -> None:
        self.body += chunk

    def on_message_complete(self) -> None:
        if self.reply is not None or self.parser.get_status_code() < 200:
            return  # a second reply, or an interim 1xx response
        status = self.parser.get_status_code()
        framed = self.framed or status in STATUSES_WITHOUT_BODY  # they end with their headers
        self.reusable = framed and self.parser.should_keep_alive()
        self.reply = Reply(status, self.rejected, bytes(self.body))
