"""One inference request, from its lane to its last token."""
