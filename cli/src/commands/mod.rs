//! Commands, which change the state of the fleet.

pub mod config_apply;
pub mod drain;
pub mod log_level;
pub mod quarantine_lift;
