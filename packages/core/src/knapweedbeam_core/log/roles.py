"""The roles of a replica, as its chart has them."""

from __future__ import annotations

import enum

from knapweedbeam_core.charts import chart

CHART = chart.load_chart("knapweedbeam_core.log", "replica.toml")


class Role(enum.StrEnum):
    """The states of `replica.toml`."""

    STRANGER = "stranger"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"
