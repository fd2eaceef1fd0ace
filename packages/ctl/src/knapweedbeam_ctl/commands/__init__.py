"""Implementations of the commands of `knapweedctl`."""
