//! The scale run: control servers, hollow and real balancers together, through the events of years in minutes.
//! docs/lab.md tells what it measures.

pub mod clock;
pub mod consumer;
pub mod hollow_process;
pub mod hollow_processes;
pub mod measure;
pub mod message;
pub mod process;
pub mod proxy;
pub mod real;
pub mod records;
pub mod report;
pub mod run;
pub mod scenario;
pub mod server_loads;
pub mod servers;
pub mod summary;
pub mod tap;
pub mod timeline;
pub mod usage;
