//! The interface between a state machine and its driver: one connection at a time to one of several members,
//! bytes in and out, and a timer.

use crate::Millis;

/// An action for the driver, or an event for the user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<S> {
    /// Open a connection to this member and report the result with [`Machine::connected`] or
    /// [`Machine::disconnected`].
    Connect(usize),
    /// Close the connection.
    Disconnect,
    /// An event for the machine's user; the driver does nothing.
    Event(S),
}

/// A state machine that a driver runs on sockets or in virtual time. The times passed in must not decrease.
pub trait Machine {
    /// The type of the events for the machine's user.
    type Event;
    /// Returns the next step, if any.
    fn poll(&mut self) -> Option<Step<Self::Event>>;
    /// Takes the bytes to be written to the connection.
    fn output(&mut self) -> Vec<u8>;
    /// When [`Machine::handle_timeout`] must be called next, if at all.
    fn poll_timeout(&self) -> Option<Millis>;
    /// Handles all timers that are due at `now`.
    fn handle_timeout(&mut self, now: Millis);
    /// Reports that the driver's connection is established.
    fn connected(&mut self, now: Millis);
    /// Reports that the driver's connection ended or could not be established.
    fn disconnected(&mut self, now: Millis);
    /// Processes bytes received from the service.
    fn received(&mut self, now: Millis, bytes: &[u8]);
}
