//! A request from admission to answer: attempts, resumption, handover and refusal.

pub mod outcome;
