"""Request/reply protocol between the instances of a deployment."""
