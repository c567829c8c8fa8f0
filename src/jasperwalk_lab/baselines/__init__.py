"""Balancers of the lab that place flows in other known ways, to compare the product with."""
