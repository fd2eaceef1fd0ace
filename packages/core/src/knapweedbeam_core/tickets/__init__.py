"""At-most-once execution: tickets, their owners and witnesses, and own keys."""
