"""A dispatcher that holds endpoints whole, and the entry VM's side of it.

The endpoint is the arbiter: it obeys the highest fencing token. A dispatcher holds
every endpoint that it reaches under its own token and places the tasks of all entry
VMs on them, so that wide tasks are packed by one mind.
"""
