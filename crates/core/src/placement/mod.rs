//! Where tasks run.
//!
//! A waiting task is placed by giving it probes on a few candidate machines ([`placer`],
//! [`candidates`]); once its placement record is stored, the first of these machines with free capacity
//! binds it ([`dispatch`], [`queue`]). Gangs are placed and started as a whole ([`gangs`]).
//! Preemption, draining and new probes correct earlier decisions.

pub(crate) mod candidates;
pub(crate) mod demand_ratios;
mod dispatch;
mod drain;
mod free_capacity;
pub(crate) mod gangs;
pub(crate) mod placer;
mod preemption;
mod probes;
pub mod queue;
mod quota;
mod reprobe;
pub(crate) mod search_budget;
pub mod wait;
