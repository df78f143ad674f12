"""Estimates the longest usual interval between gossip messages of a peer, in quantile sketches of bounded size."""

from __future__ import annotations

import importlib
from typing import Protocol

RELATIVE_ACCURACY = 0.02
MAX_BINS = 128
MAX_SAMPLES_PER_SKETCH = 200  # a full sketch becomes the older one, whose samples are discarded
MIN_SAMPLES = 5  # below this number of samples the default interval is used
HIGH_QUANTILE = 0.99


class _Sketch(Protocol):
    def add(self, val: float) -> None: ...

    def get_quantile_value(self, quantile: float) -> float | None: ...


def _new_sketch() -> _Sketch:
    # Imported on first use, so that a controller whose failure detector is disabled doesn't spend memory on ddsketch.
    ddsketch = importlib.import_module("ddsketch")
    sketch: _Sketch = ddsketch.LogCollapsingLowestDenseDDSketch(relative_accuracy=RELATIVE_ACCURACY, bin_limit=MAX_BINS)
    return sketch


class IntervalEstimator:
    """A high quantile of the latest few hundred intervals.

    `default_s` is the estimate in seconds until MIN_SAMPLES intervals have been added.
    """

    def __init__(self, default_s: float) -> None:
        self._default_s = default_s
        self._older: _Sketch | None = None
        self._newer = _new_sketch()
        self._newer_count = 0
        self._expected_s: float | None = None

    def add(self, seconds: float) -> None:
        """Add an interval in seconds; a negative one counts as 0."""
        if self._newer_count >= MAX_SAMPLES_PER_SKETCH:
            self._older, self._newer, self._newer_count = self._newer, _new_sketch(), 0
        self._newer.add(max(0.0, seconds))
        self._newer_count += 1
        self._expected_s = None

    def expected_s(self) -> float:
        """Return the estimate in seconds: the quantile HIGH_QUANTILE of the intervals, which few of them exceed."""
        if self._expected_s is None:
            self._expected_s = self._high_quantile()
        return self._expected_s

    def _high_quantile(self) -> float:
        if self._older is not None:
            sketches = [self._older, self._newer]
        elif self._newer_count >= MIN_SAMPLES:
            sketches = [self._newer]
        else:
            return self._default_s
        return max(sketch.get_quantile_value(HIGH_QUANTILE) or 0.0 for sketch in sketches)
