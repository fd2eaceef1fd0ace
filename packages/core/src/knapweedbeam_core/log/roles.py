"""The roles of a replica, as defined by its state chart."""

from __future__ import annotations

import enum

from knapweedbeam_core.charts import chart

CHART = chart.load_chart("knapweedbeam_core.log", "replica.toml")


class Role(enum.StrEnum):
    """The states of `replica.toml`; a stranger does not have a log yet."""

    STRANGER = "stranger"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"
