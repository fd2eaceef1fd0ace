"""Evacuations: failure domains on whose endpoints nothing new is started."""
