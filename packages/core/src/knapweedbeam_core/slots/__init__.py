"""Endpoints, the keepers that lease out their slots, and the holders of slots."""
