"""Checks the merged histories of a run against the guarantees."""
