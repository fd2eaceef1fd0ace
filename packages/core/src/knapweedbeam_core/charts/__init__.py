"""State charts: data files and the tables compiled from them."""
