"""A burst saturates the store machines' uplinks, and the primary is lost at its end.

Limits are taken from the settings and docs/serving-tier.md.
"""

import pytest

from tests.tier.simulation.saturation import Findings, SaturationRun, Scenario

ACK_S = 6.0  # ackMs of the large sites, for a valid change of the configuration
CATCH_UP_S = 6.0  # catchUpS of the large sites
PRIMARY_BACK_S = 2.0
MAX_TERMS = 5  # limit for one loss and the machine's return

STATE_JOBS = 50  # 8.4 MB

CASES = [(5, (6.0,)), (9, (6.0,)), (18, (1.0,)), (18, (2.0, 12.0))]
NAMES = ["5-6", "9-6", "18-1", "18-2-12"]


def violations(findings: Findings) -> list[str]:
    """Lists the limits that a run violated."""
    found_violations = []
    if findings.longest_change_s > ACK_S:
        found_violations.append(f"a change of the configuration took {findings.longest_change_s:.1f} s")
    if findings.primary_back_s > PRIMARY_BACK_S:
        found_violations.append(f"there was no primary until {findings.primary_back_s:.1f} s after the loss")
    if findings.job_back_s > CATCH_UP_S:
        found_violations.append(f"no job was acknowledged until {findings.job_back_s:.1f} s after the loss")
    if findings.longest_gap_s > ACK_S:
        found_violations.append(f"nothing was acknowledged for {findings.longest_gap_s:.1f} s without load")
    if findings.terms > MAX_TERMS:
        found_violations.append(f"{findings.terms} terms in a run with one loss")
    if findings.lost_jobs is None:
        found_violations.append("no primary at the end")
    elif findings.lost_jobs:
        found_violations.append(f"{len(findings.lost_jobs)} acknowledged jobs were lost")
    return found_violations


@pytest.mark.parametrize(("machines", "loads"), CASES, ids=NAMES)
def test_a_saturated_uplink_stops_neither_elections_nor_changes(
    machines: int, loads: tuple[float, ...]
) -> None:
    found_violations = {}
    for load in loads:
        scenario = Scenario(machines, load, burst_s=6.0, calm_s=9.0, state_jobs=STATE_JOBS)
        findings = SaturationRun(scenario).play()
        assert findings.changes and findings.submitted > 0
        found_violations[load] = violations(findings)
    assert not any(found_violations.values()), found_violations
