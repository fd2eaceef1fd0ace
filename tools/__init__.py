"""Build scripts."""
