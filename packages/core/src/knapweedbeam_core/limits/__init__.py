"""Contract limits: windows, shares and the gate on the dispatch path.

All amounts are whole numbers in a limit's dimension. Each entry VM holds a fixed
share of every limit, so that the sum holds also while failure domains are cut
off from each other.
"""
