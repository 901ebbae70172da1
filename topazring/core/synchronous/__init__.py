"""Decision logic for groups with synchronous replication."""
