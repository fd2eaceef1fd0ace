"""Settings of a process: an INI file, validated as a whole before anything runs."""
