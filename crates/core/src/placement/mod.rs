//! Where tasks run: probes, candidates, queue order, gangs and preemption.

pub(crate) mod candidates;
pub(crate) mod demand_ratios;
mod dispatch;
mod drain;
pub(crate) mod gangs;
pub(crate) mod placer;
mod preemption;
pub mod queue;
pub mod wait;
