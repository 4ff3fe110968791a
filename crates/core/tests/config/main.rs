//! Tests of the configuration's documents, order and spread.

mod history;
mod node;
mod parse;
mod readers;
mod store;
mod store_random;
