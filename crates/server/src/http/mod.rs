//! Accepting HTTP/1.1 connections within bounds, and ending them gracefully.

mod accept;

pub(crate) use accept::{AcceptSettings, Acceptor};
