"""Baseline balancers, which place flows in other known ways, for comparison with the product."""
