//! Days for the users' bench: the files of the directory `days`, whose leading comments state the purpose of a day and the
//! sites and seeds with which it is played, and days generated from a seed.

mod day;
mod error;
mod play;
mod verdict;

pub use day::{all_days, days_dir, Day};
pub use error::DaysError;
pub use play::{play_days, play_drawn_days, PlayOptions};
pub use verdict::{verdict, BenchVerdict};
