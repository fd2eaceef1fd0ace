"""Tasks on their way to endpoints."""
