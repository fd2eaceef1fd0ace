"""The scenarios of the load tool, one module each."""
