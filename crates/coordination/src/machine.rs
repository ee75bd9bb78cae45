//! What all machines here have in common: one connection at a time to one of several members, bytes, and a timer.

use crate::Millis;

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<S> {
    /// Open a connection to this member, and say so with [`Machine::connected`] or [`Machine::broken`].
    Connect(usize),
    /// Drop the connection.
    Disconnect,
    /// Nothing: it is for whoever uses the machine.
    Said(S),
}

/// A machine that a driver runs, on sockets or in virtual time. Times must not run backwards.
pub trait Machine {
    /// What it tells its user.
    type Said;
    /// The next thing to do.
    fn poll(&mut self) -> Option<Step<Self::Said>>;
    /// What is to be written; it is taken by this.
    fn output(&mut self) -> Vec<u8>;
    /// When [`Machine::handle_timeout`] is to be called.
    fn poll_timeout(&self) -> Option<Millis>;
    /// Does what is due by now.
    fn handle_timeout(&mut self, now: Millis);
    /// The driver's connection stands.
    fn connected(&mut self, now: Millis);
    /// The driver's connection has ended, or never came up.
    fn broken(&mut self, now: Millis);
    /// Takes what came.
    fn received(&mut self, now: Millis, bytes: &[u8]);
}
