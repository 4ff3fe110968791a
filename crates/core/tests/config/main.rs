//! Tests of the parsing, ordering and replication of configuration documents.

mod epoch;
mod epoch_random;
mod evacuations;
mod history;
mod node;
mod parse;
mod random_faults;
mod readers;
mod store;
mod store_random;
mod takeover;
