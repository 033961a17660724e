"""Which endpoint a request goes to, and which ones are avoided."""
