"""When a member in cells asks to be woken."""

from tests.cellular import S, fleet


def test_a_former_speaker_is_not_woken_to_publish() -> None:
    """Guards against endless wake-ups for a vote that a former speaker may no longer publish."""
    world = fleet(12, 1, 4)
    world.run_until(5 * S)
    member = next(m for m in world.members.values() if m.reachability.speaks)
    member.speakers, member.reachability_votes.publish_at = (), world.now - S
    member.layout = StillLayout(member.layout)
    member.tick(world.now, world.wall(member.me))
    assert not member.reachability.speaks and member.wake_at(world.now) > world.now


class StillLayout:
    """A layout in which this member is no speaker."""

    def __init__(self, layout: object) -> None:
        self.layout = layout

    def speakers(self, cell: str, alive: object) -> tuple[str, ...]:
        return ()

    def __getattr__(self, name: str) -> object:
        return getattr(self.layout, name)
