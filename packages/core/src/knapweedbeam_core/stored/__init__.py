"""Jobs that survive any process: kept in the replicated log until they are forgotten.

The log holds what must not be lost: that a job was accepted, which of its tasks ended
done or failed, and that it was cancelled. Starts are not in it: a dispatcher learns
what runs from the endpoints.
"""
