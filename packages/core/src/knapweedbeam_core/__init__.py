"""The decisions of knapweedbeam, free of I/O, wall clocks and global random."""
