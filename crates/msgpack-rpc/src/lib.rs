//! MessagePack-RPC as used by the load balancer, without I/O or clocks.
//!
//! The wire format is that of the public specification: a request `[0, msgid, method, params]`, a response
//! `[1, msgid, error, result]`, a notification `[2, method, params]`. The contents of `params`, `error` and
//! `result` follow the project's convention in `docs/design/msgpack-rpc.md`.
//!
//! - [`frame`] splits a byte stream into messages and enforces limits on length and depth before it buffers
//!   anything.
//! - [`message`] decodes and encodes messages.
//! - [`server`] is the called side: [`server::Connection`].
//! - [`client`] is the calling side: [`client::Connection`], which tracks how much of each call was written.
//!
//! Received bytes may be passed in pieces of any size; the connections return events and the bytes to write.
#![warn(missing_docs)]

pub mod client;
pub mod frame;
pub mod message;
pub mod server;
