"""Placement policies: one that uses measured times, and plain baselines."""
