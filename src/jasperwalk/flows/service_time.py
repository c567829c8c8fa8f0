"""Encodes a host's service time in one byte, the flags of an agent's `ACCEPTED` answer.

The scale is logarithmic, because decisions compare service times by their ratio. Earlier releases
send 0 (unknown) and do not read it.
"""

from __future__ import annotations

import math

UNKNOWN_SERVICE_TIME = 0
MIN_SERVICE_TIME_SECONDS = 0.0005
"""The time of code 1; shorter times are encoded as this one."""
CODES_PER_DOUBLING = 16
"""Steps of 4 %, up to 33 s at the end of the scale: no caller waits longer for an answer."""
MAX_SERVICE_TIME_CODE = 0xFF


def encode_service_time(seconds: float | None) -> int:
    """Return the code of a service time; `UNKNOWN_SERVICE_TIME` for None and invalid times."""
    if seconds is None or not 0.0 < seconds < math.inf:
        return UNKNOWN_SERVICE_TIME
    code = 1 + round(CODES_PER_DOUBLING * math.log2(seconds / MIN_SERVICE_TIME_SECONDS))
    return min(max(code, 1), MAX_SERVICE_TIME_CODE)


def decode_service_time(code: int) -> float | None:
    """Return the seconds that a code stands for, None if it is unknown."""
    if not 0 < code <= MAX_SERVICE_TIME_CODE:
        return None
    return float(MIN_SERVICE_TIME_SECONDS * 2.0 ** ((code - 1) / CODES_PER_DOUBLING))
