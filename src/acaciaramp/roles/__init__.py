"""Composition roots of the roles of a deployment, one module for each role."""
