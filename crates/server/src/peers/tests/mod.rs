//! Tests of connections to peers and of checks on their replies.

mod frames;
mod replies;
mod table;
mod versions;
