//! linenhill decides, for a proxy in front of groups of one primary and its replicas, which member
//! gets a request, when, and what happens after failures.
//!
//! The library does no I/O: feed [`api::Event`]s to [`choice::Router::handle`] with the current time,
//! and carry out the [`api::Action`]s it pushes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod choice;
pub mod settings;
mod state;

/// README's example is compiled with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
