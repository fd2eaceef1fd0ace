"""Stored jobs, which survive the loss of any process.

They are kept in the replicated log until they expire. The log records what must not be
lost: that a job was accepted, which of its tasks completed or failed, and that it was
cancelled. It does not record starts: a dispatcher learns from the endpoints what runs.
"""
