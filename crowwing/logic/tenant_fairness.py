"""What each tenant sends against its quota share."""

from crowwing.contract import Premises

SHARE_SPAN = 5_000_000  # microseconds over which a tenant's traffic is held against its share
MAX_UNIT = 1e9  # a unit so large is made 1 again, and tenants that have faded away are forgotten
FORGOTTEN = 1e-6  # in units
BURST_REQUESTS = 2  # that any tenant may send beyond its share
SHARE_TOLERANCE = 1.3  # of an even part, since traffic comes unevenly to the backends


class TenantFairness:
    """Owner of the traffic by tenant.

    Traffic is counted in units of one request that comes now. The unit grows, so that nothing has to fade by
    itself, and a request costs the same among all tenants; a tenant that stays away is forgotten.

    Attributes:
        traffic: requests of each tenant of late.
        even_parts: this backend's part of each tenant's share, in even parts of the fleet's.
    """

    def __init__(self, facts: Premises, now: int) -> None:
        """Nothing has come."""
        self._facts = facts
        self.traffic: dict[int, float] = {}
        self._unit = 1.0
        self._counted_at = now
        self.even_parts = [1.0] * len(facts.shares)

    def expected_value(self, tenant: int, now: int) -> float:
        """Counts one request, and tells the part of its value that it can be expected to earn.

        Which requests lie beyond their tenant's share is told nowhere, so all carry alike what its traffic
        of late, against this backend's even part, says. Guards against floods of one tenant. Could harm one
        whose traffic comes unevenly to the backends.
        """
        facts = self._facts
        if not facts.shares:
            return 1.0
        self._count(tenant, now)
        even_share = SHARE_TOLERANCE * facts.shares[tenant] / max(1, facts.fleet) * self.even_parts[tenant]
        allowed = (even_share * SHARE_SPAN / 1e6 + BURST_REQUESTS) * self._unit
        inside = min(1.0, allowed / self.traffic[tenant])
        return inside + facts.over_share_credit * (1 - inside)

    def _count(self, tenant: int, now: int) -> None:
        left = max(0.0, 1 - (now - self._counted_at) / SHARE_SPAN)
        self._counted_at = now
        self._unit /= max(left, 1 / MAX_UNIT)
        if self._unit >= MAX_UNIT:
            least = (FORGOTTEN if left else MAX_UNIT) * self._unit
            self.traffic = {other: seen / self._unit for other, seen in self.traffic.items() if seen > least}
            self._unit = 1.0
        self.traffic[tenant] = self.traffic.get(tenant, 0.0) + self._unit
