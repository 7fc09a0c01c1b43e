//! Tests of when proxies poll the one discovery service of a whole fleet, which serves one call at a time, and of how
//! soon all of them have the list.

mod backoff;
mod fixtures;
mod histories;
mod silent_watch;
mod start;
