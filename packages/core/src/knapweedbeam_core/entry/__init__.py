"""One entry VM's decisions, composed from the parts."""
