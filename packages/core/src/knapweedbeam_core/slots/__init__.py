"""Endpoints, their keepers and the slots that entry VMs hold."""
