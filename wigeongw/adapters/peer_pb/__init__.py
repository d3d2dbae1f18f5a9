"""Generated protobuf messages and gRPC stubs for entry hosts."""
