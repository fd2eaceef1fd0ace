"""Versioned manifests: the queues and services of a deployment."""
