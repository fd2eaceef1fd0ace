"""Queue, admission, placement and health."""
