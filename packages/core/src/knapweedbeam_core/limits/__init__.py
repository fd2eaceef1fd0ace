"""Contract limits: windows, shares and the limiter on the dispatch path.

All amounts are whole numbers in a limit's dimension. Each entry VM has a fixed
share of every limit, so the limit holds in total even while a network partition
separates failure domains.
"""
