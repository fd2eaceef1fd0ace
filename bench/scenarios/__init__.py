"""Scenarios of the load tool, one module each."""
