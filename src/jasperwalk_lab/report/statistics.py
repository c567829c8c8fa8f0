"""Means over repetitions with confidence intervals (pure)."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean, stdev

T_QUANTILES_95 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
"""Student's t, two-sided 95%, for 1 to 10 degrees of freedom."""
T_QUANTILE_LARGE_SAMPLE = 2.0
"""Approximate quantile for more than 10 degrees of freedom."""


@dataclass(frozen=True)
class Estimate:
    """Mean of repetitions and half the width of its 95% interval; NaN without repetitions."""

    mean: float
    half_width: float
    repetitions: int

    def __str__(self) -> str:
        """Format the mean and the interval."""
        if self.repetitions <= 1:
            return f"{self.mean:.4g} (one run)"
        return f"{self.mean:.4g} ± {self.half_width:.2g}"


def estimate(values: Sequence[float]) -> Estimate:
    """Return the mean with its 95% interval by Student's t; no interval for one value."""
    if not values:
        return Estimate(math.nan, math.nan, 0)
    if len(values) == 1:
        return Estimate(values[0], 0.0, 1)
    degrees = len(values) - 1
    quantile = (
        T_QUANTILES_95[degrees - 1] if degrees <= len(T_QUANTILES_95) else T_QUANTILE_LARGE_SAMPLE
    )
    return Estimate(fmean(values), quantile * stdev(values) / math.sqrt(len(values)), len(values))
