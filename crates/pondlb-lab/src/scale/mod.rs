pub mod clock;
pub mod message;
pub mod process;
pub mod proxy;
pub mod records;
pub mod scenario;
pub mod tap;
pub mod timeline;
