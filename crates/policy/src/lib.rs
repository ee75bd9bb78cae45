//! The load-balancing decisions of a proxy in front of a fleet of servers.
//!
//! [`Balancer`] processes [`Event`]s and returns [`Action`]s; it does no I/O and reads no clock. [`api`]
//! contains its full interface.
//!
//! ```
//! use glenwood_policy::*;
//!
//! let class = Class {
//!     target_latency: 100.0, worth: 1.0, late_worth: 0.0, client_timeout: f64::INFINITY,
//!     effect: Effect::Unsafe,
//! };
//! let settings = Settings {
//!     node_index: 0,
//!     nodes: 1,
//!     classes: vec![class],
//!     tenants: Vec::new(),
//!     by_work: false,
//!     over_share_worth: 1.0,
//!     goal: Goal { worth: 1.0, ..Goal::default() },
//!     limits: Limits {
//!         attempts: 3, second_copies: false, cancel: true, probes: false, connect_timeout: 50.0,
//!         max_retry_after: 1_000.0,
//!     },
//!     rules: Rules {
//!         max_call_interval: 10_000.0, cold_capacity_share: 0.2, warm_up_time: 20_000.0,
//!         overload_factor: 3.0, overload_window: 1_000.0,
//!     },
//!     discovery: Discovery::Pushed,
//!     weights: Weights::None,
//!     min_event_interval: 1.0,
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let (mut actions, server) = (Vec::new(), ServerId(7));
//! let up = Entry { server, zone: 0, cell: 0, kind: 0, state: Listed::Up, weight: 1.0, started_at: None };
//! balancer.handle(0.0, Event::List { entries: vec![up], saved: false }, &mut actions);
//! let request = Event::Request {
//!     id: RequestId(1), class: 0, tenant: None, deadline: 500.0, repeat_key: None, work: None,
//!     in_share: None, prior_attempts: None,
//! };
//! balancer.handle(1.0, request, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: to, .. } if *to == server)));
//! # Ok::<(), SettingsError>(())
//! ```
#![warn(missing_docs)]

pub mod api;
pub mod balance;
mod crowd;
mod discovery;
mod indexed;
mod list_validity;
mod queue;
mod rate;
mod table;
mod unserved;

pub use api::*;
pub use balance::Balancer;
