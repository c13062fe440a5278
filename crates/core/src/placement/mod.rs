//! Where tasks run: probes, candidates, queue order, gangs and preemption.

pub(crate) mod candidates;
pub(crate) mod dispatch;
pub(crate) mod gangs;
pub(crate) mod placer;
pub mod queue;
pub mod wait;
