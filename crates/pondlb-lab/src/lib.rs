//! The laboratory: an emulated fleet, an open load and a judge of the four rules, all on loopback.
//! docs/lab.md tells why it is built like this.

pub mod balancers;
pub mod child_process;
pub mod compare;
pub mod fleet;
pub mod http;
pub mod judge;
pub mod ledger;
pub mod load;
pub mod report;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod slopes;
