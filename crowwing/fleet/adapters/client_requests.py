"""Requests of clients on a member's fleet socket: `crowwing fleet ...` and the emulation rig.

Each request and each response is one datagram; `n` is echoed. Only entries in the operators' keyspaces can be
changed. The response to a change is sent once a majority of all members holds it or `wait_ms` is over, and
says which (`acked`) and how many members hold it (`held`). A malformed datagram is counted by the endpoint.
"""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import orjson

from crowwing.fleet.member import MAX_MEMBERS_WITH_KEY_CLAIMS
from crowwing.fleet.state.dissemination import Update
from crowwing.fleet.state.keyspaces import OPERATORS
from crowwing.fleet.state.replica import EntryRejectedError
from crowwing.fleet.uses.idempotency_keys import ClaimResult

if TYPE_CHECKING:
    from crowwing.fleet.adapters.endpoint import FleetEndpoint

MAX_PAGE_BYTES = 6000  # of rows in one response
MAX_WAIT_MS = 30_000


class ClientRequests:
    def __init__(self, endpoint: "FleetEndpoint") -> None:
        self.endpoint = endpoint

    def answer(self, request: dict, reply: Callable[[dict], None]) -> None:
        """KeyError, TypeError or ValueError for a malformed request."""
        kind, n = request["k"], request.get("n")
        if kind == "members":
            reply(self._members() | {"n": n})
        elif kind == "counts":
            reply(self._counts() | {"n": n})
        elif kind == "state":
            reply(self._state(str(request.get("prefix", "")), str(request.get("after", ""))) | {"n": n})
        elif kind in ("put", "add", "take_out"):
            self._change(kind, request, reply)
        elif kind == "claim":
            self._claim(request, reply)
        elif kind in ("over", "never_ran"):
            keys, key = self.endpoint.member.idempotency_keys, str(request["label"])
            if keys is None:
                pass  # nothing was granted in a fleet of this size
            elif kind == "over":
                keys.complete(self.endpoint.now(), key, request.get("answer"))
            else:
                keys.release(self.endpoint.now(), key)
            reply({"n": n})
            self.endpoint.tick()
        else:
            raise ValueError(f"{kind}: unknown request")

    def _claim(self, request: dict, reply: Callable[[dict], None]) -> None:
        """Claims an idempotency key, as a front does before it runs a keyed request."""
        n, window = request.get("n"), int(request.get("window_ms", 60_000)) * 1000
        if self.endpoint.member.idempotency_keys is None:
            reply(
                {"n": n, "why": f"keys are claimed in fleets of up to {MAX_MEMBERS_WITH_KEY_CLAIMS} members"}
            )
            return

        def on_result(result: ClaimResult, answer: str | None) -> None:
            reply({"n": n, "claimed": result.value, "answer": answer})

        try:
            self.endpoint.member.idempotency_keys.claim(
                self.endpoint.now(), str(request["label"]), window, on_result
            )
        except ValueError as error:
            reply({"n": n, "why": str(error)})
        self.endpoint.tick()

    def _members(self) -> dict:
        endpoint, m = self.endpoint, self.endpoint.member.membership
        return {
            "me": m.me, "incarnation": m.incarnation, "health": m.health, "at": endpoint.now(),
            "members": [{"name": n, "state": s, "incarnation": i, "since": t} for n, s, i, t in m.view()],
            "dropped": dict(endpoint.dropped), **self._counts(), **self._cells(),
        }  # fmt: skip

    def _counts(self) -> dict:
        """Datagrams and payload bytes since the start; small enough for one datagram at any fleet size."""
        endpoint = self.endpoint
        return {
            "sent": endpoint.sent, "sent_bytes": endpoint.sent_bytes, "read": endpoint.read,
            "read_bytes": endpoint.read_bytes, "fetches": endpoint.fetches,
            "periods": endpoint.member.membership.periods, "ready": endpoint.member.ready,
            "whole": endpoint.member.catch_up.is_current,
        }  # fmt: skip

    def _cells(self) -> dict:
        """In a fleet with cells: the speakers of our cell and the last known status of each other cell."""
        member = self.endpoint.member
        if member.reachability is None:
            return {}
        return {
            "cell": member.reachability.cell, "speakers": list(member.speakers),
            "out": sorted(member.unreachable_cells()),
            "cells": {
                cell: member.reachability.cell_status.get(cell) for cell in sorted(member.layout.rosters)
            },
        }  # fmt: skip

    def _state(self, prefix: str, after: str) -> dict:
        member, catch_up = self.endpoint.member, self.endpoint.member.catch_up
        replicas = [dissemination.replica for dissemination in member.disseminations]
        found = sorted(
            (key, replica) for replica in replicas for key, _ in replica.with_prefix(prefix) if key > after
        )
        rows, size = [], 0
        for key, replica in found:
            row = replica.row(key)
            size += len(orjson.dumps(row)) + 1
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        root = 0
        for replica in replicas:
            root ^= replica.root()
        return {
            "me": member.me, "rows": rows, "more": len(rows) < len(found),
            "entries": sum(len(replica.entries) for replica in replicas),
            "held": {
                name: count for replica in replicas for name, count in replica.entry_counts.items() if count
            },
            "root": f"{root:016x}",
            "refused": dict(sum((replica.rejected for replica in replicas), Counter())),
            "ready": catch_up.ready,
            "caught_up": [
                {"took_ms": round(duration / 1000, 1), "whole": current}
                for duration, current in catch_up.wait_history
            ],
            "time": member.replica.clock.time(self.endpoint.wall()),
        }  # fmt: skip

    def _change(self, kind: str, request: dict, reply: Callable[[dict], None]) -> None:
        endpoint, member, n, key = self.endpoint, self.endpoint.member, request.get("n"), str(request["key"])
        if key.partition("/")[0] not in OPERATORS:
            reply({"n": n, "why": f"{key}: is not for operators to change"})
            return
        dissemination = member.dissemination_of(key)
        wait, lifetime = int(request.get("wait_ms", 2000)), int(request.get("life_ms", 3_600_000)) * 1000
        now = endpoint.wall()
        try:
            if kind == "put":
                rows = [dissemination.replica.put(now, key, request.get("value"), lifetime)]
            elif kind == "add":
                rows = [dissemination.replica.add_element(now, key, lifetime)]
            else:
                rows = dissemination.replica.remove_element(now, key)
        except EntryRejectedError as error:
            reply({"n": n, "why": str(error)})
            return
        dissemination.mark_changed(row[0] for row in rows)
        expected, holder_counts = len(rows), []

        def reply_when_held(update: Update) -> None:
            holder_counts.append(dissemination.holder_count(update))
            if len(holder_counts) == expected:
                min_holders = min(holder_counts)
                reply(
                    {
                        "n": n,
                        "acked": min_holders >= dissemination.majority,
                        "held": min_holders,
                        "rows": rows,
                    }
                )

        if not rows:
            reply({"n": n, "acked": True, "held": dissemination.majority, "rows": []})
        for row in rows:
            dissemination.replicate(
                endpoint.now(),
                row,
                member.membership.alive(),
                min(max(0, wait), MAX_WAIT_MS) * 1000,
                reply_when_held,
            )
        endpoint.tick()
