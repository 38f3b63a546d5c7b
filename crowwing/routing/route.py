"""Route: gives each step that the module asks for to the stage that carries it out."""

from collections.abc import Callable

from crowwing.contract import Result, Step
from crowwing.routing.slip import Slip


class Route:
    def __init__(
        self, slips: dict[str, Slip], by_ticket: dict[Step, Callable], outward: dict[Step, Callable]
    ) -> None:
        self.slips, self.by_ticket, self.outward = slips, by_ticket, outward

    def carry_out(self, results: list[Result]) -> None:
        for step, handle, figure in results:
            if handle is None:
                self.outward[step](figure)
            elif (slip := self.slips.get(handle.id)) is not None and slip.handle is handle:
                self.by_ticket[step](slip, figure)
