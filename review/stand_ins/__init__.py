"""Stand-ins of the platform, its executors and clients, for the review."""
