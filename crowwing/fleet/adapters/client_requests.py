"""What a member answers to whoever asks on its fleet socket: `crowwing fleet ...` and the rig's clients.

One datagram asks, one answers; `n` comes back as it was. What changes something is kept to the operators'
spaces; the answer to it comes once a majority of all members holds it, or when `wait_ms` is over, and says
which (`acked`, `held`). A datagram that is none of these is counted by the link, never a crash.
"""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import orjson

from crowwing.fleet.member import LABELS_MEMBERS_MOST
from crowwing.fleet.state.dissemination import Update
from crowwing.fleet.state.keyspaces import OPERATORS
from crowwing.fleet.state.replica import NotKept
from crowwing.fleet.uses.idempotency_keys import Claimed

if TYPE_CHECKING:
    from crowwing.fleet.adapters.endpoint import Link

PAGE_MOST = 6000  # bytes of rows in one answer
WAIT_MOST = 30_000  # ms


class Asked:
    def __init__(self, link: "Link") -> None:
        self.link = link

    def answer(self, told: dict, reply: Callable[[dict], None]) -> None:
        """KeyError, TypeError or ValueError for what is no question of ours."""
        kind, n = told["k"], told.get("n")
        if kind == "members":
            reply(self._members() | {"n": n})
        elif kind == "counts":
            reply(self._counts() | {"n": n})
        elif kind == "state":
            reply(self._state(str(told.get("prefix", "")), str(told.get("after", ""))) | {"n": n})
        elif kind in ("put", "add", "take_out"):
            self._change(kind, told, reply)
        elif kind == "claim":
            self._claim(told, reply)
        elif kind in ("over", "never_ran"):
            labels, label = self.link.member.labels, str(told["label"])
            if labels is None:
                pass  # nothing was granted in a fleet of this size
            elif kind == "over":
                labels.over(self.link.now(), label, told.get("answer"))
            else:
                labels.never_ran(self.link.now(), label)
            reply({"n": n})
            self.link.turn()
        else:
            raise ValueError(f"{kind}: no question")

    def _claim(self, told: dict, reply: Callable[[dict], None]) -> None:
        """What a front with labelled traffic types asks before it runs one."""
        n, window = told.get("n"), int(told.get("window_ms", 60_000)) * 1000
        if self.link.member.labels is None:
            reply({"n": n, "why": f"labels are claimed in fleets of up to {LABELS_MEMBERS_MOST} members"})
            return

        def tell(what: Claimed, answer: str | None) -> None:
            reply({"n": n, "claimed": what.value, "answer": answer})

        try:
            self.link.member.labels.claim(self.link.now(), str(told["label"]), window, tell)
        except ValueError as wrong:
            reply({"n": n, "why": str(wrong)})
        self.link.turn()

    def _members(self) -> dict:
        link, m = self.link, self.link.member.membership
        return {
            "me": m.me, "incarnation": m.incarnation, "health": m.health, "at": link.now(),
            "members": [{"name": n, "state": s, "incarnation": i, "since": t} for n, s, i, t in m.view()],
            "dropped": dict(link.dropped), **self._counts(), **self._cells(),
        }  # fmt: skip

    def _counts(self) -> dict:
        """Since the start, datagrams and payload bytes; small at any size of the fleet."""
        link = self.link
        return {
            "sent": link.sent, "sent_bytes": link.sent_bytes, "read": link.read,
            "read_bytes": link.read_bytes, "fetches": link.fetches,
            "periods": link.member.membership.periods, "ready": link.member.ready,
            "whole": link.member.catch_up.whole,
        }  # fmt: skip

    def _cells(self) -> dict:
        """Of a fleet in cells: who speaks for ours, and what is known of the others, by name."""
        member = self.link.member
        if member.reach is None:
            return {}
        return {
            "cell": member.reach.cell, "speakers": list(member.speakers), "out": sorted(member.out()),
            "cells": {cell: member.reach.told.get(cell) for cell in sorted(member.layout.rosters)},
        }  # fmt: skip

    def _state(self, prefix: str, after: str) -> dict:
        member, catch_up = self.link.member, self.link.member.catch_up
        kept = [one.copies for one in member.keeping]
        found = sorted((key, one) for one in kept for key, _ in one.under(prefix) if key > after)
        rows, size = [], 0
        for key, one in found:
            row = one.row(key)
            size += len(orjson.dumps(row)) + 1
            if rows and size > PAGE_MOST:
                break
            rows.append(row)
        root = 0
        for one in kept:
            root ^= one.root()
        return {
            "me": member.me, "rows": rows, "more": len(rows) < len(found),
            "entries": sum(len(one.entries) for one in kept),
            "held": {name: held for one in kept for name, held in one.held.items() if held},
            "root": f"{root:016x}",
            "refused": dict(sum((one.refused for one in kept), Counter())), "ready": catch_up.ready,
            "caught_up": [
                {"took_ms": round(took / 1000, 1), "whole": whole} for took, whole in catch_up.took
            ],
            "time": member.copies.clock.time(self.link.wall()),
        }  # fmt: skip

    def _change(self, kind: str, told: dict, reply: Callable[[dict], None]) -> None:
        link, member, n, key = self.link, self.link.member, told.get("n"), str(told["key"])
        if key.partition("/")[0] not in OPERATORS:
            reply({"n": n, "why": f"{key}: is not for operators to change"})
            return
        spread = member.spread_of(key)
        wait, life = int(told.get("wait_ms", 2000)), int(told.get("life_ms", 3_600_000)) * 1000
        now = link.wall()
        try:
            if kind == "put":
                rows = [spread.copies.put(now, key, told.get("value"), life)]
            elif kind == "add":
                rows = [spread.copies.add(now, key, life)]
            else:
                rows = spread.copies.take_out(now, key)
        except NotKept as wrong:
            reply({"n": n, "why": str(wrong)})
            return
        spread.changed(row[0] for row in rows)
        wanted, held = len(rows), []

        def tell(update: Update) -> None:
            held.append(spread.holders(update))
            if len(held) == wanted:
                least = min(held)
                reply({"n": n, "acked": least >= spread.majority, "held": least, "rows": rows})

        if not rows:
            reply({"n": n, "acked": True, "held": spread.majority, "rows": []})
        for row in rows:
            spread.update(
                link.now(), row, member.membership.alive(), min(max(0, wait), WAIT_MOST) * 1000, tell
            )
        link.turn()
