"""The replicated log that the control replicas share."""
