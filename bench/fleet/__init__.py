"""The heartbeats of a deployment in simulated time."""
