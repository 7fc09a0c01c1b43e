//! Tests of disruption permits: they never make more proxies or members unavailable than the limits allow, after
//! crashes, lost messages and repeated requests. The checkers compare the actual availability with the limits,
//! independently of the permits.

mod fixtures;
mod histories;
mod permits;
mod reporter;
