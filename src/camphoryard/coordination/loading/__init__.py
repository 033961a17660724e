"""Loading of models and adapters by the leader, which alone orders the engines."""
