//! Orders that daemons send to engines: load, unload, change the role.

mod send;
mod wire;

pub use send::send_order;
