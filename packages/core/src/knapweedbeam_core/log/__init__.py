"""The replicated log of the control VMs, a Raft implementation without I/O."""
