"""Having models and adapters loaded by the node that orders engines."""
