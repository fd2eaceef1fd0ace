"""Placement policies: one that uses measured run times, and simple baselines."""
