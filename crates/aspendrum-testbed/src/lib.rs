//! The rig: a fleet of limiters as processes, stand-ins around them, links between all, open-loop traffic and
//! a timeline of faults; the record of it all and its judge's verdict.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.

pub mod bench;
pub mod clients;
pub mod config;
pub mod days;
pub mod drawn;
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
