"""Contract limits: windows, shares and the gate on the dispatch path."""
