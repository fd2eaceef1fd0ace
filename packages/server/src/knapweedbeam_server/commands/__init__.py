"""What each command of `knapweedbeam` does."""
