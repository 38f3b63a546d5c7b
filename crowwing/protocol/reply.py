"""One HTTP reply, as the back end and the control plane give them."""

from typing import NamedTuple

import httptools

MAX_REPLY_BYTES = 1 << 16
STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9112, 6.3: no length frames them, and none has to


class Reply(NamedTuple):
    status: int
    rejected: bool
    body: bytes


class ReplyReader:
    """Takes the bytes of one reply in any pieces; `reusable` says whether its connection can carry on."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.reusable = self.rejected = False
        self.bytes_read, self.body = 0, bytearray()
        self.reply: Reply | None = None
        self.framed = self.headers_complete = False

    def feed(self, view: memoryview) -> Reply | None:
        """The reply once it is whole; ValueError for what is none."""
        self.bytes_read += len(view)
        if self.bytes_read > 2 * MAX_REPLY_BYTES:
            raise ValueError("a reply over its limit")
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.reply is None:
                raise ValueError(f"no reply: {error}") from None
            self.reusable = False  # it was whole before the noise began
        return self.reply

    def end(self) -> Reply | None:
        """The far side's end of stream, which ends only a reply that no length frames."""
        if self.framed or not self.headers_complete:
            return None
        return Reply(self.parser.get_status_code(), self.rejected, bytes(self.body))

    # httptools calls these

    def on_message_begin(self) -> None:
        self.reusable = False  # a second one behind a whole reply
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
            return  # a copy behind the reply, or a word before it
        status = self.parser.get_status_code()
        framed = self.framed or status in STATUSES_WITHOUT_BODY  # these end with their head
        self.reusable = framed and self.parser.should_keep_alive()
        self.reply = Reply(status, self.rejected, bytes(self.body))
