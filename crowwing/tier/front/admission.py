"""Admission control for the sidecars of one service: which requests a front queues, starts and rejects.

A request whose rank is below the priority threshold is rejected on arrival. Queued requests start in order of
rank, highest first, up to a limit on requests in flight; one that stays queued beyond the queue timeout of
its class is rejected. Control loops adjust the threshold and the limit; their steps and the queue timeout are
shared with the backend (crowwing/logic/feedback.py). Constants are listed in docs/deciding.md.

No I/O. Times are seconds of the monotonic clock.
"""

from asyncio import Future
from dataclasses import dataclass, field

from crowwing.logic.feedback import MIN_SAMPLES, SAMPLES, LimitController, queue_timeout, step_threshold
from crowwing.ranked_window import RankedWindow

RANK_BANDS = 6  # one band for each priority from 0 (most important) to 5
MAX_PRIORITY_THRESHOLD = 1 - 1 / (4 * RANK_BANDS)  # a quarter of the highest band always stays above it
MAX_LIMIT_FLOOR, MIN_LIMIT_FLOOR = 4.0, 1.0  # bounds of the minimum limit, in requests
LIMIT_FLOOR_SHARE = 0.25  # minimum limit, as a share of the front's even share of the slots
LIMIT_GAINS = 20.0, 0.05, 0.5, 0.0  # climb (in idle slots), then P, I and D (relative to the limit)
WAITING_SHARE_TARGET = 0.1  # requests waiting at sidecars, as a share of the slots; beyond it the limit falls
SATURATED_SHARE = 0.9  # share of the slots in use from which sidecars count as saturated
QUEUE_TIMEOUT_TARGET_SHARE = 0.23  # maximum, as a share of the latency target: leaves time for a retry
MIN_QUEUE_TIMEOUT_S = 0.03
PRESSURE_WINDOW_S = 1.0  # how long after a rejection admission counts as under pressure
MAX_STEP_S = 0.2  # longest time step of the control loops, however long ago the last step was
MAX_BAND_POSITION = 0.999  # keeps a rank below the next band


@dataclass
class AdmissionRequest:
    """A live request or batch item that asks for admission.

    Created by the proxy or by a run of a batch item; `Admission` updates its state.
    """

    class_name: str  # request class: the name of the route
    rank: float  # from 0 to 1; higher ranks start first
    arrived: float
    queue_deadline: float  # when it is too late to start it
    is_batch_item: bool  # exempt from the priority threshold and from the queue timeout
    decision: Future[bool] | None = None  # set and awaited by the pool
    is_started: bool = False
    is_rejected: bool = False


@dataclass
class ClassQueue:
    """The queue of one request class, and the latencies that its queue timeout is derived from.

    Owned by `Admission`; the proxy records latencies.
    """

    latency_target_s: float
    requests: list[AdmissionRequest] = field(default_factory=list)
    latencies: RankedWindow[float] = field(default_factory=lambda: RankedWindow(SAMPLES))
    timeout_s: float = 0.0

    def __post_init__(self) -> None:
        """Starts with the maximum timeout, until enough latencies are known."""
        self.timeout_s = QUEUE_TIMEOUT_TARGET_SHARE * self.latency_target_s

    def record_latency(self, latency_s: float) -> None:
        """Records the time to the first event of one request."""
        self.latencies.add(latency_s)
        if len(self.latencies) >= MIN_SAMPLES:
            max_timeout_s = QUEUE_TIMEOUT_TARGET_SHARE * self.latency_target_s
            self.timeout_s = queue_timeout(
                self.latencies.ranked, self.latency_target_s, MIN_QUEUE_TIMEOUT_S, max_timeout_s
            )


@dataclass(frozen=True)
class Load:
    """Estimated load of a service's sidecars: requests running and waiting there, and the number of slots."""

    running: float
    waiting: float
    slots: float


@dataclass(frozen=True)
class FreeSlots:
    """How many more live requests and batch items the sidecars can take; items leave some slots free."""

    live: int
    batch: int


def rank_of(priority: int, band_position: float) -> float:
    """Returns the rank of a request, from 0 to 1.

    Args:
        priority: The priority of its route, which selects the band; 0 is the most important.
        band_position: Position within the band, from 0 to 1.
    """
    bounded = min(max(priority, 0), RANK_BANDS - 1)
    return (RANK_BANDS - 1 - bounded + min(max(band_position, 0.0), MAX_BAND_POSITION)) / RANK_BANDS


def compute_min_limit(share: float) -> float:
    """Returns the minimum inflight limit of a front whose even share of the slots is `share`.

    It scales with the share, so that the minima of all fronts together leave the control loops able to reject
    work.
    """
    return min(MAX_LIMIT_FLOOR, max(MIN_LIMIT_FLOOR, LIMIT_FLOOR_SHARE * share))


class Admission:
    """Decides which requests start at the sidecars of one service.

    Owned by `ServicePool`, one per service. The pool calls it when a request arrives or ends, and steps its
    control loops.

    Attributes:
        min_limit: The current lower bound of `limit`.
        limit: How many requests may be in flight.
        max_limit: The current upper bound of `limit`: what the sidecars are known to handle.
        priority_threshold: Live requests of a lower rank are rejected on arrival.
        inflight: Requests that have started and not ended.
        rejected_count: Total number of rejections.
        load: The load of the sidecars at the last step.
    """

    def __init__(self, now: float, share: float) -> None:
        """Starts with `share`, this front's even share of the slots, as the limit."""
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
        """Returns the queue of a request class, and creates it on first use."""
        queue = self._classes.get(name)
        if queue is None or queue.latency_target_s != latency_target_s:
            queued = queue.requests if queue is not None else []
            queue = self._classes[name] = ClassQueue(latency_target_s, queued)
        return queue

    @property
    def queued_count(self) -> int:
        """Number of queued live requests and batch items."""
        return sum(len(queue.requests) for queue in self._classes.values())

    @property
    def queued_live_count(self) -> int:
        """Number of queued live requests."""
        return sum(
            1 for queue in self._classes.values() for request in queue.requests if not request.is_batch_item
        )

    @property
    def free_capacity(self) -> int:
        """How many more requests could start now within the limit."""
        return max(0, int(self.limit) - self.inflight - self.queued_count)

    @property
    def is_saturated(self) -> bool:
        """Whether nearly all slots of the sidecars are in use."""
        return self.load.running + self.load.waiting >= SATURATED_SHARE * self.load.slots

    def is_under_pressure(self, now: float) -> bool:
        """Whether work is queued, was rejected recently, or the priority threshold is above 0."""
        return (
            self.queued_count > 0
            or self.priority_threshold > 0
            or now - self.last_rejected_at < PRESSURE_WINDOW_S
        )

    def arrive(self, now: float, request: AdmissionRequest, latency_target_s: float) -> bool:
        """Queues a request; returns False if it is below the priority threshold and therefore rejected."""
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
        """Removes a queued request whose caller has gone."""
        queue = self._classes.get(request.class_name)
        if queue is not None and request in queue.requests:
            queue.requests.remove(request)

    def expire(self, now: float) -> list[AdmissionRequest]:
        """Removes, rejects and returns the queued requests whose queue timeout or deadline has passed."""
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
        """Removes and returns the queued requests that start now, highest rank first, as free slots allow."""
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
        """Records the end of a started request."""
        self.inflight -= 1

    def step(self, now: float, load: Load, max_inflight: float, fronts: int = 1) -> None:
        """Runs one step of the control loops.

        Args:
            now: The current time.
            load: The load of the sidecars.
            max_inflight: How many requests of this front the sidecars can handle at once.
            fronts: How many fronts run the same loops; idle slots are divided among them.
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
