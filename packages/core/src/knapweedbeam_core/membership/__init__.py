"""Failure detection: which entry VMs are live."""
