"""Admission before the sidecars of one service: what a front queues, starts and rejects. Pure.

Arrivals whose rank lies under a priority threshold are rejected at once, queued requests start highest rank
first within a limit on requests in flight, a queued request is rejected past its class' queue timeout, and
control loops move the threshold and the limit. The threshold's step, the limit's loop and the queue timeout
are the backend's own (crowwing/logic/feedback.py). Figures: docs/deciding.md. Times are seconds of the steady
clock.
"""

from asyncio import Future
from dataclasses import dataclass, field

from crowwing.logic.feedback import MIN_SAMPLES, SAMPLES, LimitController, queue_timeout, step_threshold
from crowwing.ranked_window import RankedWindow

RANK_BANDS = 6  # priorities 0 to 5, 0 the most important
MAX_PRIORITY_THRESHOLD = 1 - 1 / (4 * RANK_BANDS)  # a quarter of the highest band is never rejected by it
MAX_LIMIT_FLOOR, MIN_LIMIT_FLOOR = 4.0, 1.0  # bounds of the lowest limit, in requests
LIMIT_FLOOR_SHARE = 0.25  # of a front's even share of the slots, which the limit never falls under
LIMIT_GAINS = 20.0, 0.05, 0.5, 0.0  # climb in idle slots, proportional, integral and derivative in limits
WAITING_SHARE_TARGET = 0.1  # of the slots, the requests that may wait at sidecars before the limit falls
SATURATED_SHARE = 0.9  # of the slots, from which sidecars count as full
QUEUE_TIMEOUT_TARGET_SHARE = (
    0.23  # of the latency target, for a live request: a rejection leaves time to retry
)
MIN_QUEUE_TIMEOUT_S = 0.03
PRESSURE_WINDOW_S = 1.0  # after a rejection, in which admission counts as under pressure
MAX_STEP_S = 0.2  # of the control loops, whatever the time since the last step
MAX_BAND_POSITION = 0.999  # within a band


@dataclass
class AdmissionRequest:
    """A live request or a batch item that asks to be started.

    Made by the proxy or a run of an item; admission changes its states.
    """

    class_name: str  # the name of its route
    rank: float  # 0 to 1, higher starts first
    arrived: float
    queue_deadline: float  # the latest moment at which it is of use to start it
    is_batch_item: bool  # batch items wait for a slot, and neither threshold nor timeout rejects them
    decision: Future[bool] | None = None  # set by the pool, which waits for it
    is_started: bool = False
    is_rejected: bool = False


@dataclass
class ClassQueue:
    """What is queued of one request class, and the latencies that its timeout follows.

    Owned by `Admission`; the proxy records latencies.
    """

    latency_target_s: float
    requests: list[AdmissionRequest] = field(default_factory=list)
    latencies: RankedWindow[float] = field(default_factory=lambda: RankedWindow(SAMPLES))
    timeout_s: float = 0.0

    def __post_init__(self) -> None:
        """Starts with the longest timeout, while no latency is known."""
        self.timeout_s = QUEUE_TIMEOUT_TARGET_SHARE * self.latency_target_s

    def record_latency(self, latency_s: float) -> None:
        """Takes in the time to the first event of one run."""
        self.latencies.add(latency_s)
        if len(self.latencies) >= MIN_SAMPLES:
            max_timeout_s = QUEUE_TIMEOUT_TARGET_SHARE * self.latency_target_s
            self.timeout_s = queue_timeout(
                self.latencies.ranked, self.latency_target_s, MIN_QUEUE_TIMEOUT_S, max_timeout_s
            )


@dataclass(frozen=True)
class Load:
    """What is known of a service's sidecars at one moment: requests running and waiting there, and slots."""

    running: float
    waiting: float
    slots: float


@dataclass(frozen=True)
class FreeSlots:
    """How many more requests the sidecars can take: live ones, and batch items, which leave some free."""

    live: int
    batch: int


def rank_of(priority: int, band_position: float) -> float:
    """The rank of a request.

    Args:
        priority: That of its route, which gives the band; 0 is the most important.
        band_position: From 0 to 1, where within the band.
    """
    bounded = min(max(priority, 0), RANK_BANDS - 1)
    return (RANK_BANDS - 1 - bounded + min(max(band_position, 0.0), MAX_BAND_POSITION)) / RANK_BANDS


def compute_min_limit(share: float) -> float:
    """The lowest limit of a front whose even share of the slots is `share`.

    What all fronts may send at least is a share of what there is, so that their loops can reject work.
    """
    return min(MAX_LIMIT_FLOOR, max(MIN_LIMIT_FLOOR, LIMIT_FLOOR_SHARE * share))


class Admission:
    """Decides what starts at the sidecars of one service.

    Owned by `ServicePool`, one for each service, which calls it on each arrival and each end, and steps its
    control loops.

    Attributes:
        min_limit: The lowest limit at present.
        limit: How many requests may be in flight.
        max_limit: The highest limit at present: what sidecars are known to bear.
        priority_threshold: The rank under which live requests are rejected at once.
        inflight: Requests started and not ended.
        rejected_count: Rejected so far.
        load: That of the sidecars at the last step.
    """

    def __init__(self, now: float, share: float) -> None:
        """Starts with a limit of `share`, this front's even share of the slots."""
        self.min_limit = compute_min_limit(share)
        self.limit = max(self.min_limit, share)
        self._limit_loop = LimitController(*LIMIT_GAINS)
        self.priority_threshold = self._threshold_base = 0.0
        self.inflight = 0
        self.rejected_count, self.last_rejected_at = 0, -1e9
        self.load = Load(0.0, 0.0, 1.0)
        self.max_limit = max(self.min_limit, share)
        self._classes: dict[str, ClassQueue] = {}
        self.last_step_at = now
        self._max_wait_ratio = 0.0

    def class_queue(self, name: str, latency_target_s: float) -> ClassQueue:
        """The queue of a request class, made when first asked for."""
        queue = self._classes.get(name)
        if queue is None or queue.latency_target_s != latency_target_s:
            queued = queue.requests if queue is not None else []
            queue = self._classes[name] = ClassQueue(latency_target_s, queued)
        return queue

    @property
    def queued_count(self) -> int:
        """How many requests and items are queued."""
        return sum(len(queue.requests) for queue in self._classes.values())

    @property
    def queued_live_count(self) -> int:
        """How many live requests are queued."""
        return sum(
            1 for queue in self._classes.values() for request in queue.requests if not request.is_batch_item
        )

    @property
    def free_capacity(self) -> int:
        """How many more requests could start now."""
        return max(0, int(self.limit) - self.inflight - self.queued_count)

    @property
    def is_saturated(self) -> bool:
        """Whether the sidecars' slots are full."""
        return self.load.running + self.load.waiting >= SATURATED_SHARE * self.load.slots

    def is_under_pressure(self, now: float) -> bool:
        """Whether work is queued or was rejected lately, or the priority threshold is up."""
        return (
            self.queued_count > 0
            or self.priority_threshold > 0
            or now - self.last_rejected_at < PRESSURE_WINDOW_S
        )

    def arrive(self, now: float, request: AdmissionRequest, latency_target_s: float) -> bool:
        """Queues a request; False where it is rejected at once."""
        queue = self.class_queue(request.class_name, latency_target_s)
        if not request.is_batch_item and request.rank < self.priority_threshold:
            request.is_rejected = True
            self._count_rejection(now)
            return False
        queue.requests.append(request)
        return True

    def _count_rejection(self, now: float) -> None:
        self.rejected_count += 1
        self.last_rejected_at = now

    def remove(self, request: AdmissionRequest) -> None:
        """The caller of a queued request has gone."""
        queue = self._classes.get(request.class_name)
        if queue is not None and request in queue.requests:
            queue.requests.remove(request)

    def expire(self, now: float) -> list[AdmissionRequest]:
        """Takes out the queued requests whose time is up; they are rejected."""
        expired: list[AdmissionRequest] = []
        for queue in self._classes.values():
            for request in queue.requests[:]:
                if now >= self._queue_deadline(queue, request):
                    queue.requests.remove(request)
                    request.is_rejected = True
                    self._count_rejection(now)
                    expired.append(request)
                    if not request.is_batch_item:
                        self._max_wait_ratio = max(
                            self._max_wait_ratio, (now - request.arrived) / queue.timeout_s
                        )
        return expired

    @staticmethod
    def _queue_deadline(queue: ClassQueue, request: AdmissionRequest) -> float:
        if request.is_batch_item:
            return request.queue_deadline
        return min(request.arrived + queue.timeout_s, request.queue_deadline)

    def start(self, free_slots: FreeSlots) -> list[AdmissionRequest]:
        """Takes out the queued requests that start now, highest rank first, as free slots allow."""
        started: list[AdmissionRequest] = []
        waiting = [request for queue in self._classes.values() for request in queue.requests]
        for request in sorted(waiting, key=lambda request: -request.rank):
            limit = free_slots.batch if request.is_batch_item else free_slots.live
            if self.inflight >= int(self.limit) or len(started) >= limit:
                break
            self._classes[request.class_name].requests.remove(request)
            request.is_started = True
            self.inflight += 1
            started.append(request)
        return started

    def release(self) -> None:
        """A started request has ended."""
        self.inflight -= 1

    def step(self, now: float, load: Load, max_inflight: float, fronts: int = 1) -> None:
        """One step of the control loops.

        Args:
            now: The time.
            load: That of the sidecars.
            max_inflight: The most requests of this front that the sidecars bear.
            fronts: How many fronts step alike.
        """
        dt = min(MAX_STEP_S, now - self.last_step_at)
        self.last_step_at, self.load = now, load
        self.min_limit = compute_min_limit(load.slots / fronts)
        self.max_limit = max(self.min_limit, max_inflight)
        has_queued = any(queue.requests for queue in self._classes.values())
        idle = max(0.0, SATURATED_SHARE * load.slots - load.running - load.waiting)
        error = max(-1.0, 1.0 - load.waiting / (WAITING_SHARE_TARGET * max(1.0, load.slots)))
        self.limit = self._limit_loop.step(self.limit, dt, idle / fronts, has_queued, error, self.limit)
        is_stuck = self.limit >= self.max_limit or idle <= 0
        self.limit = min(max(self.limit, self.min_limit), self.max_limit)
        max_wait_ratio, self._max_wait_ratio = self._max_wait_ratio, 0.0
        for queue in self._classes.values():
            for request in queue.requests:
                if not request.is_batch_item:
                    max_wait_ratio = max(max_wait_ratio, (now - request.arrived) / queue.timeout_s)
        idle_share = idle / max(1.0, load.slots)
        self._threshold_base, self.priority_threshold = step_threshold(
            self._threshold_base,
            dt,
            max_wait_ratio,
            self.is_saturated and is_stuck,
            idle_share,
            MAX_PRIORITY_THRESHOLD,
        )
