"""The commands of `knapweedbeam`."""
