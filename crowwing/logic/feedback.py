"""Steps of the feedback loops that the backend and the serving tier share. Pure; times in seconds."""

CUT_NOW, CUT_RISE, CUT_FALL, CUT_IDLE = 0.4, 0.3, 0.15, 0.5  # gains of the cut's loop: at once, and a second
CUT_FROM = 0.6  # the wait, in timeouts, that the cut is steered to


def step_cut(
    base: float, dt: float, outwait: float, saturated: bool, idle_part: float, most: float
) -> tuple[float, float]:
    """One step of the loop that moves the rank cut: its slow part, and the cut itself.

    `outwait` is the longest wait of a held request in timeouts, `idle_part` the idle part of what does the
    work. The cut rises only while that is saturated, and falls faster while some of it idles.
    """
    over = min(1.0, outwait - CUT_FROM)
    if over > 0 and saturated:
        base = min(most, base + CUT_RISE * dt * over)
    else:
        over = min(over, 0.0)
        base = max(0.0, base + dt * (CUT_FALL * over - CUT_IDLE * max(0.0, idle_part)))
    return base, min(most, base + CUT_NOW * max(0.0, over))
