//! What a node says it does, line by line, and what the lines of a whole fleet add up to. A node alone looks harmless;
//! what a hundred of them do at the same moment shows only when their lines are counted together.
#![warn(missing_docs)]

mod record;
mod tables;

pub use record::{Answer, Doing, Record};
pub use tables::{Second, ServerSum, Tables};
