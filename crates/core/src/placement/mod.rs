//! Placement: decides on which machine each task runs.
//!
//! The placer gives a task probes on a few candidate machines ([`placer`], [`candidates`]): each
//! probe is an entry in a machine's queue. Once the task's placement record is stored, the first of
//! these machines with free capacity binds the task (late binding, [`dispatch`], [`queue`]). A gang
//! is placed and started as a whole ([`gangs`]). Preemption, draining and re-probing revise earlier
//! placements.

mod backlog;
pub(crate) mod candidates;
pub(crate) mod demand_ratios;
mod dispatch;
mod drain;
mod free_capacity;
pub(crate) mod gangs;
mod hold_periods;
mod job_zone;
mod machine_class;
mod placement_pass;
pub(crate) mod placer;
mod preemption;
mod probes;
pub mod queue;
pub(crate) mod quota;
mod reprobe;
pub(crate) mod search_budget;
pub mod wait;
