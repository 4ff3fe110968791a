//! Tests of connections to peers and of what is believed of their replies.

mod frames;
mod replies;
mod table;
