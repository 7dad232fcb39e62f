//! The `operate` command.
