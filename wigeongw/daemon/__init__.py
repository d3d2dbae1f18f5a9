"""The entry host: tasks that own sockets and drive the decisions."""
