"""HTTP to callers, endpoints, the platform and operators."""
