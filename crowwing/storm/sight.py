"""Whether a retry storm is on, and which tickets are likely repeats, from what reaches one backend. Pure.

Three kinds of evidence, none of which needs a mark:

- `again`: the print of an arrival is that of a ticket that was turned away here of late. Honest equal
tickets   match too; how often, is learned from prints of *settled* tickets, which nobody repeats. A turned-
away print is   taken out by its first match, since each bad ending begets one repeat at most. - `worn`: an
arrival's caller has less patience left than tickets of its type come with while all is calm. A   sidecar
that goes on to another backend has spent some of it. - the excess: arrivals over the level at which they
stood when bad endings began, and no more than the bad endings   a moment before. Honest growth and a
neighbour's death come before any bad ending and move that level; what   repeats bring comes after. This
needs nothing in a ticket to stay the same.

No table grows with tickets: the windows are of fixed size, all else is one figure or one a traffic type.
"""

from collections import deque
from dataclasses import dataclass
from math import sqrt
from typing import NamedTuple

from crowwing.storm.windows import CuckooWindow

MATCH_OVER = 400  # arrivals that the rates of matches are means of
CALM = 0.02  # bad endings an arrival under which all is calm
QUIET = 0.05  # bad endings an arrival under which the base follows arrivals
FAST, FOLLOW, JUMP, DRIFT = (
    1.0,
    4.0,
    0.5,
    6.0,
)  # seconds: of the rates; of the base calm, after a jump, in trouble
RECENT, ONSET = 5, 3  # steps that the level at an onset is the mean of, and for which it may still rise
LAG = 0.5  # seconds by which repeats are taken to follow bad endings
STORM_TRIES, OVER_TRIES = 1.35, 1.15  # tries a ticket from which a storm is on, under which it is over
STORM_BAD, OVER_BAD = 0.1, 0.05  # bad endings an arrival, likewise
ON_AFTER, OFF_AFTER = 1_000_000, 2_000_000  # microseconds for which that has to hold
FADE, NEAR, SPENT = 0.99999, 0.996, 0.99  # of the most patience: a ticket; what is there; what is worn
SHARP = 0.1  # part of arrivals at the most from which patience is a matter of the type
WORN_CALM = 0.01  # part of arrivals that look worn while all is calm, before it is learned


class View(NamedTuple):
    """What is seen now. `repeats`: share of arrivals; `tries`: of one ticket; `sure`: 0 to 1."""

    repeats: float
    tries: float
    storm: bool
    sure: float


@dataclass(slots=True)
class Patience:
    """What arrivals of one type bring of their caller's patience.

    First tries come with the most there is. Where a good part of arrivals stands right at that most, patience
    is a matter of the type, and what has less has spent some; where honest patience is spread, none is worn.
    """

    most: float = 0.0
    at_most: float = 0.0  # part of arrivals that stand there
    seen: int = 0

    def worn(self, left: float) -> bool:
        self.seen += 1
        self.most = max(self.most * FADE, left)
        self.at_most += ((left >= NEAR * self.most) - self.at_most) / min(200, self.seen)
        return self.seen > 50 and self.at_most > SHARP and left < SPENT * self.most


class Sight:
    """Of one backend. Clocks that step back count as standing still."""

    def __init__(self, now: int, types: int, span: int, most: int) -> None:
        """`span` in microseconds and `most` prints: what the windows hold."""
        self.turned, self.settled = CuckooWindow(span, most), CuckooWindow(span, most)
        self.span = span
        self.patience = [Patience() for _ in range(types)]
        self.now = self.stepped = now
        self.equal = 1e-6  # chance that an arrival equals one given print in the settled window
        self.matched = self.worn = 0.0  # part of arrivals of late
        self.worn_calm = WORN_CALM
        self.came = self.bad = self.good = self.others = 0  # since the last step
        self.rate = self.bad_rate = self.lagged = self.good_rate = self.base = 0.0  # a second
        self.other_rate = 0.0  # prints turned away elsewhere that this member was told
        self.age = 0.0  # seconds of steps so far
        self.recent: deque[tuple[float, int, int]] = deque(maxlen=RECENT)  # span, came, ended badly by step
        self.onset: int | None = None  # steps for which the base may still rise; None: few end badly
        self.storm, self.against = False, now  # and since when all spoke the same way
        self.view = View(0.0, 1.0, False, 0.0)

    def _clock(self, now: int) -> int:
        self.now = max(self.now, now)
        return self.now

    def arrived(self, now: int, kind: int, print_: int, left: int) -> float:
        """How likely it is a repeat, 0 to 1. `left`: its caller's patience, 0 where none is told."""
        now = self._clock(now)
        self.came += 1
        popular = self.settled.take(now, print_)
        if popular:
            self.settled.add(now, print_)
        again = self.turned.take(now, print_)
        there = max(1.0, min(self.good_rate * self.span / 1e6, self.settled.mask * 3.0))
        self.equal += (popular / there - self.equal) / MATCH_OVER
        self.matched += (again - self.matched) / MATCH_OVER
        worn = left > 0 and self.patience[kind].worn(left)
        if self.bad_rate < CALM * self.rate:
            self.worn_calm += (worn - self.worn_calm) / MATCH_OVER
        self.worn += (worn - self.worn) / MATCH_OVER
        likely = 0.0
        if again and not popular:
            turned = min((self.bad_rate + self.other_rate) * self.span / 1e6, self.turned.mask * 3.0)
            likely = 1 - min(1.0, self.equal * turned / max(self.matched, 1 / MATCH_OVER))
        if worn:
            likely = max(likely, 1 - min(1.0, self.worn_calm / max(self.worn, 1 / MATCH_OVER)))
        return likely

    def ended(self, now: int, print_: int, good: bool) -> None:
        """Our final answer to a ticket has gone out; a bad one may bring its caller back."""
        now = self._clock(now)
        if good:
            self.good += 1
            self.settled.add(now, print_)
        else:
            self.bad += 1
            self.turned.add(now, print_)

    def elsewhere(self, now: int, prints: list[int]) -> None:
        """Others of the fleet turned these away. They count among the prints that a repeat may match, and
        that an equal ticket may match by chance; our own rates are not theirs."""
        now = self._clock(now)
        for print_ in prints:
            self.turned.add(now, print_)
        self.others += len(prints)

    def step(self, now: int) -> View:
        """Every tenth of a second or so: the rates, and whether a storm is on."""
        now = self._clock(now)
        span = (now - self.stepped) / 1e6
        if span < 0.02:
            return self.view
        self.stepped = now
        self.age += span
        fast = min(1.0, span / min(FAST, self.age))
        self.rate += fast * (self.came / span - self.rate)
        self.bad_rate += fast * (self.bad / span - self.bad_rate)
        self.good_rate += fast * (self.good / span - self.good_rate)
        self.other_rate += fast * (self.others / span - self.other_rate)
        self.lagged += min(1.0, span / LAG) * (self.bad_rate - self.lagged)
        self.recent.append((span, self.came, self.bad))
        self.came = self.bad = self.good = self.others = 0
        noise = sqrt(max(1.0, self.rate) / (2 * FAST))
        self._move_base(span, noise)
        excess = min(max(0.0, self.rate - self.base), self.lagged)
        sure = excess / (excess + 2 * noise)
        direct = min(0.9, self.matched + max(0.0, self.worn - self.worn_calm))
        unseen = excess / max(1.0, self.rate)
        repeats = max(direct, unseen)
        tries = 1 / (1 - min(0.95, repeats))
        self._decide(now, tries, self.bad_rate / max(1.0, self.rate))
        self.view = View(repeats, tries, self.storm, max(sure, min(1.0, direct * 5)))
        return self.view

    def _move_base(self, span: float, noise: float) -> None:
        """The level of first tries. While few end badly it follows arrivals, at once after a jump.

        At the onset of bad endings it is taken from the last half second itself: the smoothed rate is still
        on its way, and what it has yet to rise would pass for repeats. From then on it stays, since repeats
        can be no more than the bad endings before: that bounds it from below, and arrivals from above.
        """
        steps = list(self.recent)[-3:]
        bad, came = sum(step[2] for step in steps), sum(step[1] for step in steps)
        if self.onset is None and bad >= max(3, QUIET * came) and self.age > 2 * FAST:
            self.onset = ONSET
        elif self.onset == 0 and self.bad_rate < QUIET / 2 * self.rate:
            self.onset = None
        if self.onset is None:
            time = JUMP if abs(self.rate - self.base) > 2 * noise else FOLLOW
            self.base += min(1.0, span / time) * (self.rate - self.base)
        elif self.onset:
            self.onset -= 1
            self.base = max(self.base, sum(s[1] for s in self.recent) / sum(s[0] for s in self.recent))
        else:
            aim = min(max(self.base, self.rate - self.lagged), self.rate)
            self.base += min(1.0, span / DRIFT) * (aim - self.base)

    def _decide(self, now: int, tries: float, bad: float) -> None:
        if self.storm:
            turns, after = tries < OVER_TRIES or bad < OVER_BAD, OFF_AFTER
        else:
            turns, after = tries >= STORM_TRIES and bad >= STORM_BAD, ON_AFTER
        if not turns:
            self.against = now
        elif now - self.against >= after:
            self.storm, self.against = not self.storm, now
