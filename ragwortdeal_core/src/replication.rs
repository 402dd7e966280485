//! The voters' replicated log: elections, replication, reads and membership.
