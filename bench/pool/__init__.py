"""Simulations of the pool's dispatcher in virtual time: guarantees and load."""
