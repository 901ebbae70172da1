"""Decide without input or output: values in, values out."""
