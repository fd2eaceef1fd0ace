"""Queueing, admission, placement and endpoint health of an entry VM."""
