"""Fakes, load tool, history checker and demo; not shipped."""
