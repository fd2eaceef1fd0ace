"""At most once: tickets, their owners and witnesses, and callers' own keys."""
