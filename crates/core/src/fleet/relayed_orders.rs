//! Filtering of the leader's orders to a worker by each controller that passes them on.

use quartzgate_wire::msg::{Order, OrdersRequest};

use crate::controller::Controller;
use crate::ids::parse_task;

/// Returns whether orders start a task.
pub(crate) fn has_starts(request: &OrdersRequest) -> bool {
    request.orders.iter().any(|order| matches!(order, Order::Start { .. }))
}

/// Removes all starts from orders.
pub(crate) fn without_starts(mut request: OrdersRequest) -> OrdersRequest {
    request.orders.retain(|order| !matches!(order, Order::Start { .. }));
    request
}

impl Controller {
    /// Removes the starts of jobs that this controller knows to have ended: such a job may have
    /// been aborted since the leader decided to start its tasks.
    pub(crate) fn without_terminal_starts(&self, mut request: OrdersRequest) -> OrdersRequest {
        request.orders.retain(|order| !self.starts_terminal_job(order));
        request
    }

    fn starts_terminal_job(&self, order: &Order) -> bool {
        let Order::Start { task, .. } = order else { return false };
        let job = parse_task(task).map(|(job, _)| job);
        let ended = job.is_some_and(|job| self.terminal_jobs.get(job).is_some());
        if ended {
            tracing::info!(task = %task, "start not passed on: its job has ended");
        }
        ended
    }
}
