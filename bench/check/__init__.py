"""Checks merged histories of a run against what must always hold."""
