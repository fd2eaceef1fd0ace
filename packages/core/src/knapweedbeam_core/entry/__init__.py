"""The decision logic of one entry VM, composed of its parts."""
