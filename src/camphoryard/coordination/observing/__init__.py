"""Status, risks, events and traces for operators, and records of use."""
