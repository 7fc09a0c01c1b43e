//! The members' side of the proxy: a pool of warm connections, the exchange of one statement, and one attempt of a
//! request. Chooses no member and decides on no retry: that is for the decisions.

pub mod attempt;
pub mod connection;
pub mod pool;
pub mod reply;
pub mod report;
pub mod send_eligibility;
pub mod send_guard;
