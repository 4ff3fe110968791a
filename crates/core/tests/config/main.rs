//! Tests of the configuration's documents, order and spread.

mod history;
mod parse;
mod store;
mod store_random;
