"""Generated messages and stubs between entry hosts."""
