//! Days of our own for the users' bench: the files of the directory `days`, each of which says in its comments what it aims
//! at and on which sites and with which seeds it is played; and days drawn from a seed.

mod day;
mod error;
mod play;
mod verdict;

pub use day::{all_days, days_dir, Day};
pub use error::DaysError;
pub use play::{play_days, play_drawn_days, PlayOptions};
pub use verdict::{verdict, BenchVerdict};
