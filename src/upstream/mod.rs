//! The members' side: connections kept warm, and the life of one attempt.

pub mod attempt;
pub mod connection;
pub mod pool;
pub mod report;
