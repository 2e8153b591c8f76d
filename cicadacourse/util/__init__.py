"""Small helpers that import nothing above them."""
