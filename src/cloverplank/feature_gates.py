"""The feature gates: the cluster version that introduced each feature, and the stored types it adds or changes."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class Stage(Enum):
    """Whether older versions can read what a feature writes, and so when the feature is enabled."""

    GATED = "gated"  # writes record shapes that older versions can't read: enabled by the cluster version
    OWN_KEYS = "own keys"  # writes only keys that older versions don't read: always enabled


class Feature(Struct, frozen=True):
    """An entry in the feature registry."""

    name: str
    version: int  # the cluster version that introduced the feature
    stage: Stage
    schemas: frozenset[str]  # stored types that it adds, or changes incompatibly for older versions


COMPACT_RECORDS = Feature(
    "compact-records",
    1,
    Stage.GATED,
    schemas=frozenset({"CompactRecord"}),
)
JOB_CHAINS = Feature(
    "job-chains",
    1,
    Stage.OWN_KEYS,
    schemas=frozenset({"BlockedJobRecord"}),
)
STAGED_ROLLOUT = Feature(
    "staged-rollout",
    1,
    Stage.OWN_KEYS,
    schemas=frozenset({"FormatRecord", "RolloutRecord"}),
)
ZONE_HEALTH = Feature(
    "zone-health",
    1,
    Stage.OWN_KEYS,
    schemas=frozenset({"ZoneRecord"}),
)
SUSPICION = Feature(
    "suspicion",
    1,
    Stage.OWN_KEYS,
    schemas=frozenset({"VerdictRecord"}),
)
COMMITTED_HEADROOM = Feature(
    "committed-headroom",
    1,
    Stage.OWN_KEYS,
    schemas=frozenset({"HeadroomRecord"}),
)
FEATURES: tuple[Feature, ...] = (
    COMPACT_RECORDS,
    JOB_CHAINS,
    STAGED_ROLLOUT,
    ZONE_HEALTH,
    SUSPICION,
    COMMITTED_HEADROOM,
)

OLDEST_VERSION = 0  # the oldest cluster version that this program supports
NEWEST_VERSION = max(feature.version for feature in FEATURES)
