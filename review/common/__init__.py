"""Stand-ins and clients of the review's cases."""
