"""Membership of a deployment's processes, and the choice of the active dispatcher."""
