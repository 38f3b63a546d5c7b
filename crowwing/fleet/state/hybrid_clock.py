"""Stamps that order what members say: a hybrid logical clock. Pure.

Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks" (OPODIS 2014). A stamp is (µs,
count, member's name): never behind this member's own clock or any stamp it has heard, so what is said after
something was heard outranks it whatever the clocks show; the name orders what nobody saw in order.
"""

from typing import NamedTuple

COUNT_MOST = 1 << 31  # of stamps within one µs; a higher one is no member's of ours


class Stamp(NamedTuple):
    at: int  # µs, Unix
    count: int
    who: str


class TooFarAhead(ValueError):
    """A stamp further ahead of this member's clock than settings allow."""


class Hybrid:
    """One member's clock. `drift_most` (µs): how far ahead of our own clock a stamp may lie and be believed.

    Guards against one member with a clock far ahead, whose words would outrank all others' for hours and run
    out everything that the fleet keeps. Could do harm where this member's own clock is far behind: it then
    believes nobody, which its counter `ahead` shows.
    """

    def __init__(self, me: str, drift_most: int) -> None:
        self.me, self.drift_most = me, drift_most
        self.at, self.count = 0, 0

    def time(self, now: int) -> int:
        """The fleet's time as far as heard, µs: what runs out is judged by it, so alike on all members."""
        return max(self.at, now)

    def next(self, now: int) -> Stamp:
        """A stamp above all that were given out or heard."""
        self.at, self.count = (now, 0) if now > self.at else (self.at, self.count + 1)
        return Stamp(self.at, self.count, self.me)

    def heard(self, now: int, at: int, count: int) -> None:
        """TooFarAhead changes nothing."""
        if at > now + self.drift_most or not 0 <= count < COUNT_MOST:
            raise TooFarAhead(f"{at - now} µs ahead")
        if (at, count) > (self.at, self.count):
            self.at, self.count = at, count
