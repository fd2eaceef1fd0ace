"""The dispatcher, which places all tasks on endpoints, and the entry VM's side of it.

One active dispatcher holds every endpoint that it can reach under its fencing token and
places the tasks of all entry VMs there, so that wide tasks are packed in one place.
Endpoints enforce this: each accepts calls only with the highest token that it has seen.
"""
