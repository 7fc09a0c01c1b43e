//! When proxies poll one discovery service that serves a whole fleet, one call at a time, and how soon all of them have
//! the list.

mod backoff;
mod fixtures;
mod histories;
mod silent_watch;
mod start;
