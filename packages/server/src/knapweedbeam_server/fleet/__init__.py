"""The I/O shell of processes that discover each other at run time."""
