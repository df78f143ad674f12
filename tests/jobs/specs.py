"""Job descriptions for tests."""

from __future__ import annotations

from cloverplank.wire.codec import encode
from cloverplank.wire.users import JobSpec, decode_submission
from tests.wire.test_wire import GOOD

SMALL = {"builds": None, "together": False, "gpus": 0.0, "ram_gb": 1.0, "vcpus": 1.0, "pieces": 8}


def spec(**fields: object) -> JobSpec:
    """Return the decoded description of a small job; `fields` override its encoded fields."""
    return decode_submission(encode(GOOD | SMALL | fields)).spec
