//! What passes from an old version to a new one: the clients' listening socket, which the platform holds for both.

pub mod inherit;
