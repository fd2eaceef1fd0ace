"""State charts, compiled from data files to lookup tables."""
