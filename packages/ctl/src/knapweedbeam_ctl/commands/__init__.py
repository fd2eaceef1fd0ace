"""What each command of `knapweedctl` does."""
