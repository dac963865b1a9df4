//! The testbed: a fleet of limiters, or the whole system, as processes, with fakes of what stands around them, links between
//! all, open-loop traffic and a timeline of faults; the record of it all and the checker's verdict.

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
