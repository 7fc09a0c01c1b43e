//! The members' side of the proxy: a pool of warm connections, the exchange of one statement, one attempt of a request, one
//! health check. Chooses no member and decides on no retry: that is for the decisions.

pub mod attempt;
pub mod connection;
mod exchange;
pub mod health_check;
pub mod pool;
pub mod reply;
pub mod report;
pub mod response;
pub mod send_eligibility;
pub mod send_guard;
