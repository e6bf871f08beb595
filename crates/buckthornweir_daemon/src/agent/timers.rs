//! The thread that runs the timers of all flows. Flows whose timer is not due are not visited.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::tick;
use tokio_util::sync::CancellationToken;

use super::flow_table::FlowTable;
use crate::fault::Result;
use crate::threads::spawn;

/// How often the timers are checked.
const TICK_PERIOD: Duration = Duration::from_millis(10);

/// Starts the thread; it runs until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
pub(crate) fn start(table: &Arc<FlowTable>, stop: &CancellationToken) -> Result<()> {
    let table = table.clone();
    let stop = stop.clone();
    spawn("flow-timers", move || {
        for _ in tick(TICK_PERIOD) {
            if stop.is_cancelled() {
                return;
            }
            let now = table.now();
            for shard in table.shards() {
                shard.run_timers(now);
            }
        }
    })
}
