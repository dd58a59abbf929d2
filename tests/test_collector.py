"""Full passes of the collector stay short after the start."""

import gc

from gentianwharf.collector import freeze_objects


def test_frozen_objects_are_no_part_of_a_full_pass() -> None:
    """Every page of a busy second is a tenth of a second late, once a minute.

    A full pass of the collector went over all modules and settings, while the loop
    stood still.
    """
    before = len(gc.get_objects())
    assert before > 10_000
    freeze_objects()
    try:
        assert len(gc.get_objects()) < before / 100
    finally:
        gc.unfreeze()
