//! The testbed. It runs a fleet of limiters, or the whole system, as processes with fakes of the services they depend on.
//! They communicate through fault-injecting links. A run sends open-loop traffic, injects faults on a timeline, records what
//! happens, and has the checker evaluate the record.

pub mod bench;
pub mod clients;
pub mod config;
pub mod days;
pub mod drawn;
pub mod error;
pub mod library;
pub mod pass_through;
pub mod process;
pub mod program;
pub mod report;
pub mod run;
pub mod scenario;
pub mod sweep;
pub mod system;
pub mod timeline;
