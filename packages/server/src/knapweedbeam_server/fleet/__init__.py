"""The shell of a process whose deployment finds its own members at run time."""
