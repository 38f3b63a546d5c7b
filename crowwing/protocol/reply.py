"""One HTTP reply, as the back end and the control plane give them."""

from typing import NamedTuple

import httptools

REPLY_MOST = 1 << 16
BODILESS = (204, 304)  # RFC 9112, 6.3: no length frames them, and none has to


class Reply(NamedTuple):
    status: int
    turned_away: bool
    body: bytes


class ReplyReader:
    """Takes the bytes of one reply in any pieces; `reusable` says whether its connection can carry on."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.reusable = self.turned_away = False
        self.head, self.body = 0, bytearray()
        self.reply: Reply | None = None
        self.framed = self.whole_head = False

    def feed(self, view: memoryview) -> Reply | None:
        """The reply once it is whole; ValueError for what is none."""
        self.head += len(view)
        if self.head > 2 * REPLY_MOST:
            raise ValueError("a reply over its limit")
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as wrong:
            if self.reply is None:
                raise ValueError(f"no reply: {wrong}") from None
            self.reusable = False  # it was whole before the noise began
        return self.reply

    def end(self) -> Reply | None:
        """The far side's end of stream, which ends only a reply that no length frames."""
        if self.framed or not self.whole_head:
            return None
        return Reply(self.parser.get_status_code(), self.turned_away, bytes(self.body))

    # httptools calls these

    def on_message_begin(self) -> None:
        self.reusable = False  # a second one behind a whole reply
        if self.reply is None:
            self.turned_away = self.framed = self.whole_head = False
            self.body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"turned-away":
            self.turned_away = value.strip() == b"1"
        elif name in (b"content-length", b"transfer-encoding"):
            self.framed = True

    def on_headers_complete(self) -> None:
        self.whole_head = self.parser.get_status_code() >= 200

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        if self.reply is not None or self.parser.get_status_code() < 200:
            return  # a copy behind the reply, or a word before it
        status = self.parser.get_status_code()
        framed = self.framed or status in BODILESS  # these end with their head
        self.reusable = framed and self.parser.should_keep_alive()
        self.reply = Reply(status, self.turned_away, bytes(self.body))
