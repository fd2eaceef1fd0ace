"""Settings of a process: an INI file that is fully validated before startup."""
