//! Control state that outlives its machines: configuration and evacuations, spread as versions and acknowledged
//! once a majority of the voters' disks holds them. There is no log and no leader. Without I/O and clock: the
//! shell gives each event with its time and carries out the acts, in their order.

pub mod ballots;
pub mod founding;
pub mod holdings;
pub mod numbers;
pub mod register;

pub use holdings::{Holdings, Order, Place};
pub use register::{Act, Outcome, Register, Said, Ticket};
