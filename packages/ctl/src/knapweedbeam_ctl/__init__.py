"""The `knapweedctl` command line for callers and operators."""
