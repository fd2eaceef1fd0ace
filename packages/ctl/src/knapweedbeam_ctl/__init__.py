"""The `knapweedctl` command line of callers and operators."""
