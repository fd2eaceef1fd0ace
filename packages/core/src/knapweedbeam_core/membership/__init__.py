"""Which entry VMs are live."""
