"""Sending tasks to endpoints and reading their answers."""
