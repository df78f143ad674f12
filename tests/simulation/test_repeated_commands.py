"""Requests that were executed and answered arrive once more: the rules hold.

CI plays a few days. More are played by `SOAK_DAYS=200 python3 -m pytest tests/simulation/test_repeated_commands.py`.
"""

from __future__ import annotations

import os

import pytest

from tests.simulation.repeated_commands import play_with_repeated_commands
from tests.simulation.simulated_day import check

DAYS = int(os.environ.get("SOAK_DAYS", "12"))
OTHER_REQUESTS_FRACTION = 0.3


# Guards against copies of start commands that start attempts again which have ended and were acknowledged.
@pytest.mark.parametrize("seed", range(DAYS))
async def test_rules_hold_while_answered_commands_are_repeated(seed: int) -> None:
    check(await play_with_repeated_commands(seed))


# The same for messages of all kinds: to the store, the cloud, peers, and controllers.
@pytest.mark.parametrize("seed", range(DAYS // 3))
async def test_rules_hold_while_answered_requests_of_all_kinds_are_repeated(seed: int) -> None:
    check(await play_with_repeated_commands(seed, other_requests=OTHER_REQUESTS_FRACTION))
