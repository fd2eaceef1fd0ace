"""The decision logic of knapweedbeam, without I/O, wall clocks or global random."""
