"""What a front takes, holds, starts and refuses, for the sidecars of one service. Pure; times are seconds.

The mechanism is that of the project's design: arrivals whose rank lies under a cut are refused at once, held
requests start highest rank first within an inflight limit, a held request is refused past its class' queue
timeout, and loops move the cut and the limit. The cut's step, the limit's loop and the queue timeout are the
backend's own (crowwing/logic/feedback.py).
"""

from dataclasses import dataclass, field
from typing import Any

from crowwing.logic.feedback import ENOUGH, SAMPLES, LimitLoop, queue_timeout, step_cut
from crowwing.ranked_window import RankedWindow

BANDS = 6  # tiers t0 to t5, t0 the most important
CUT_MOST = 1 - 1 / (4 * BANDS)  # a quarter of the highest band is never cut
LIMIT_FLOOR, LIMIT_FLOOR_LEAST = 4.0, 1.0  # bounds of the least limit, in requests
LIMIT_FLOOR_SHARE = 0.25  # of a front's even part of the slots, which the limit never falls under
LIMIT_GAINS = 20.0, 0.05, 0.5, 0.0  # climb in idle slots, proportional, integral and derivative in limits
WAITING_AIM = 0.1  # of the slots, the requests that may wait at sidecars before the limit falls
BUSY = 0.9  # part of the slots from which sidecars count as full
TIMEOUT_AIM = 0.23  # part of the aim, the longest hold of a live request: a refusal in time for another try
TIMEOUT_LEAST_S = 0.03
PRESSED_S = 1.0  # after a refusal, in which an admission counts as pressed


@dataclass
class Ticket:
    """One request or item that asks to be started."""

    class_name: str
    rank: float
    arrived: float
    hold_until: float  # the latest moment at which starting it is worth anything
    patient: bool  # items of lots wait for a place and are not refused by a queue timeout
    data: Any = None
    started: bool = False
    refused: bool = False


@dataclass
class ClassQueue:
    """What is held of one class, and the latencies that its timeout follows."""

    aim_s: float
    held: list[Ticket] = field(default_factory=list)
    latencies: RankedWindow[float] = field(default_factory=lambda: RankedWindow(SAMPLES))
    timeout_s: float = 0.0

    def __post_init__(self) -> None:
        self.timeout_s = TIMEOUT_AIM * self.aim_s

    def learn(self, latency_s: float) -> None:
        """Takes in the time to the first event of one run."""
        self.latencies.add(latency_s)
        if len(self.latencies) >= ENOUGH:
            most = TIMEOUT_AIM * self.aim_s
            self.timeout_s = queue_timeout(self.latencies.ranked, self.aim_s, TIMEOUT_LEAST_S, most)


@dataclass(frozen=True)
class Load:
    """What is known of a service's sidecars at one moment: requests running and waiting there, and slots."""

    running: float
    waiting: float
    slots: float


@dataclass(frozen=True)
class Places:
    """How many more requests the sidecars can take: live ones, and items of lots, which leave some free."""

    live: int
    patient: int


def rank_of(priority: int, spread: float) -> float:
    """The rank of a request: its tier's band, and a place within it from `spread` (0 to 1)."""
    tier = min(max(priority, 0), BANDS - 1)
    return (BANDS - 1 - tier + min(max(spread, 0.0), 0.999)) / BANDS


def limit_floor(share: float) -> float:
    """The least limit of a front whose even part of the slots is `share`.

    What all fronts may send at least is a part of what there is, so that their loops can turn work away.
    """
    return min(LIMIT_FLOOR, max(LIMIT_FLOOR_LEAST, LIMIT_FLOOR_SHARE * share))


class Admission:
    """Decides for the sidecars of one service."""

    def __init__(self, now: float, share: float) -> None:
        """`share`: this front's even part of the slots."""
        self.floor = limit_floor(share)
        self.limit = max(self.floor, share)
        self._limit_loop = LimitLoop(*LIMIT_GAINS)
        self.cut = self._cut_base = 0.0
        self.inflight = 0
        self.refused, self.refused_at = 0, -1e9
        self.load = Load(0.0, 0.0, 1.0)
        self.ceiling = max(self.floor, share)
        self._classes: dict[str, ClassQueue] = {}
        self.stepped = now
        self._outwait = 0.0

    def class_queue(self, name: str, aim_s: float) -> ClassQueue:
        """The queue of a class, made when first asked for."""
        queue = self._classes.get(name)
        if queue is None or queue.aim_s != aim_s:
            held = queue.held if queue is not None else []
            queue = self._classes[name] = ClassQueue(aim_s, held)
        return queue

    @property
    def held(self) -> int:
        """How many tickets wait."""
        return sum(len(queue.held) for queue in self._classes.values())

    @property
    def live_held(self) -> int:
        """How many live requests wait."""
        return sum(1 for queue in self._classes.values() for ticket in queue.held if not ticket.patient)

    @property
    def room(self) -> int:
        """How many more tickets could start now."""
        return max(0, int(self.limit) - self.inflight - self.held)

    @property
    def saturated(self) -> bool:
        """Whether the sidecars' slots are full."""
        return self.load.running + self.load.waiting >= BUSY * self.load.slots

    def pressed(self, now: float) -> bool:
        """Whether work waits or was refused lately, or the cut is up."""
        return self.held > 0 or self.cut > 0 or now - self.refused_at < PRESSED_S

    def arrive(self, now: float, ticket: Ticket, aim_s: float) -> bool:
        """Takes a ticket into the hold; False where it is refused at once."""
        queue = self.class_queue(ticket.class_name, aim_s)
        if not ticket.patient and ticket.rank < self.cut:
            ticket.refused = True
            self._note_refused(now)
            return False
        queue.held.append(ticket)
        return True

    def _note_refused(self, now: float) -> None:
        self.refused += 1
        self.refused_at = now

    def remove(self, ticket: Ticket) -> None:
        """A held ticket's caller has gone."""
        queue = self._classes.get(ticket.class_name)
        if queue is not None and ticket in queue.held:
            queue.held.remove(ticket)

    def expire(self, now: float) -> list[Ticket]:
        """Takes out the held tickets whose time is up; they are to be refused."""
        expired: list[Ticket] = []
        for queue in self._classes.values():
            for ticket in queue.held[:]:
                patience = self._patience(queue, ticket)
                if now >= patience:
                    queue.held.remove(ticket)
                    ticket.refused = True
                    self._note_refused(now)
                    expired.append(ticket)
                    if not ticket.patient:
                        self._outwait = max(self._outwait, (now - ticket.arrived) / queue.timeout_s)
        return expired

    @staticmethod
    def _patience(queue: ClassQueue, ticket: Ticket) -> float:
        if ticket.patient:
            return ticket.hold_until
        return min(ticket.arrived + queue.timeout_s, ticket.hold_until)

    def start(self, now: float, places: Places) -> list[Ticket]:
        """Takes out the held tickets that start now, highest rank first, as far as there are places."""
        started: list[Ticket] = []
        waiting = [ticket for queue in self._classes.values() for ticket in queue.held]
        for ticket in sorted(waiting, key=lambda ticket: -ticket.rank):
            left = places.patient if ticket.patient else places.live
            if self.inflight >= int(self.limit) or len(started) >= left:
                break
            self._classes[ticket.class_name].held.remove(ticket)
            ticket.started = True
            self.inflight += 1
            started.append(ticket)
        return started

    def ended(self, ticket: Ticket) -> None:
        """A started ticket has left its sidecar."""
        self.inflight -= 1

    def steer(self, now: float, load: Load, survived: float, fronts: int = 1) -> None:
        """One step of the loops.

        `survived`: the most requests of this front that the sidecars bear; `fronts`: how many steer alike.
        """
        dt = min(0.2, now - self.stepped)
        self.stepped, self.load = now, load
        self.floor = limit_floor(load.slots / fronts)
        self.ceiling = max(self.floor, survived)
        waits = any(queue.held for queue in self._classes.values())
        idle = max(0.0, BUSY * load.slots - load.running - load.waiting)
        error = max(-1.0, 1.0 - load.waiting / (WAITING_AIM * max(1.0, load.slots)))
        self.limit = self._limit_loop.step(self.limit, dt, idle / fronts, waits, error, self.limit)
        stuck = self.limit >= self.ceiling or idle <= 0
        self.limit = min(max(self.limit, self.floor), self.ceiling)
        outwait, self._outwait = self._outwait, 0.0
        for queue in self._classes.values():
            for ticket in queue.held:
                if not ticket.patient:
                    outwait = max(outwait, (now - ticket.arrived) / queue.timeout_s)
        idle_part = idle / max(1.0, load.slots)
        self._cut_base, self.cut = step_cut(
            self._cut_base, dt, outwait, self.saturated and stuck, idle_part, CUT_MOST
        )
