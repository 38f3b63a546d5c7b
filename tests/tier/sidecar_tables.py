"""Tables of sidecars of one service, and a router for them."""

from random import Random

from crowwing.tier.front.routing import Router
from crowwing.tier.front.sidecar_table import SidecarTable
from crowwing.tier.platform_list import Sidecar


def entry(name: str, ready: bool = True, zone: str = "z1") -> Sidecar:
    return Sidecar(name, "advisor", f"10.0.0.{len(name)}:80", zone, 48, ready)


def table(*names: str) -> SidecarTable:
    made = SidecarTable()
    made.update([entry(name) for name in names])
    return made


def many(count: int) -> SidecarTable:
    made = SidecarTable()
    made.update([Sidecar(f"s{n}", "advisor", f"10.0.0.1:{n}", "z1", 48, True) for n in range(count)])
    return made


def router_of(sidecars: SidecarTable, random: Random | None = None) -> Router:
    router = Router(sidecars, random)
    router.zone = "z1"
    return router
