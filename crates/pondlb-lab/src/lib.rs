//! The laboratory: runs real balancers on loopback with an emulated fleet and an open load, and judges from the
//! recorded events whether they kept the rules. docs/lab.md gives the reasons for its design.

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
