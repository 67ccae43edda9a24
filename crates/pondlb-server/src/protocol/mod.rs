//! HTTP/1.1 between clients, the balancer, upstreams and discovery, and the records of control servers, without sockets
//! or clocks. Messages are decoded by readers that are fed bytes, and encoded to bytes. `pondlb-http` parses the
//! messages; the modules here interpret them.

pub mod answer;
pub mod client;
pub mod control;
pub mod discovery;
#[cfg(test)]
mod tests;
pub mod upstream;
