//! The scale run: it starts control servers, real balancers with traffic and hollow balancers (followers of the control
//! servers without traffic), and plays failures, releases and configuration changes against them. In a few minutes it
//! goes through events that happen over years in production. `docs/lab.md` describes what it measures.

pub mod clock;
pub mod consumer;
pub mod hollow_process;
pub mod hollow_processes;
pub mod measure;
pub mod message;
pub mod process;
pub mod proxy;
pub mod real_balancers;
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
