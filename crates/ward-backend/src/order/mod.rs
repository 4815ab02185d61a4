//! Orders to engines.

mod send;
mod wire;

pub use send::send_order;
