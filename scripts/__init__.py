"""Tools of the build; none of them is part of the product."""
