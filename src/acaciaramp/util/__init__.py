"""Small leaf helpers without dependencies on other packages."""
