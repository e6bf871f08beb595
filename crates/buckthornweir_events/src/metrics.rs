//! Counters, gauges and histograms of a process, exported to Prometheus.

use std::time::Duration;

use prometheus::{Histogram, HistogramOpts, IntCounter, IntGauge, Opts, Registry, TextEncoder};
use quick_error::quick_error;

/// The result of creating or exporting metrics.
pub(crate) type Result<T> = std::result::Result<T, MetricsError>;

quick_error! {
    /// Why metrics could not be created or exported.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The Prometheus library returned an error.
        Library(source: prometheus::Error) {
            from()
            display("metrics: {source}")
            source(source)
        }
    }
}

macro_rules! define_metrics {
    ($(#[$doc:meta])* $kind:ident { $($(#[$variant_doc:meta])* $name:ident = $text:literal, $help:literal $(, reason = $reason:literal)?;)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $kind {
            $($(#[$variant_doc])* $name,)*
        }

        impl $kind {
            const ALL: &'static [$kind] = &[$($kind::$name),*];

            /// Returns the metric name, without the `buckthornweir_` prefix.
            pub fn name(self) -> &'static str {
                match self { $($kind::$name => $text),* }
            }

            /// Returns the help text of the metric.
            pub fn help(self) -> &'static str {
                match self { $($kind::$name => $help),* }
            }

            /// Returns the value of the `reason` label, for metrics that are split by reason.
            pub fn reason(self) -> Option<&'static str> {
                let reasons: &[&'static str] = match self {
                    $($kind::$name => &[$($reason)?]),*
                };
                reasons.first().copied()
            }

            fn opts(self) -> Opts {
                let opts = Opts::new(self.name(), self.help());
                match self.reason() {
                    Some(reason) => opts.const_label("reason", reason),
                    None => opts,
                }
            }
        }
    };
}

define_metrics! {
    /// The counters of a process.
    Count {
        /// Packets received from the fabric.
        PacketsIn = "packets_in_total", "Packets that came from the fabric";
        /// Packets forwarded to an agent.
        PacketsForwarded = "packets_forwarded_total", "Packets forwarded to an agent";
        /// Packets that are not well-formed TCP packets.
        PacketsMalformed = "packets_malformed_total", "Packets that are not well-formed TCP";
        /// Packets over the size limit.
        PacketsOversize = "packets_oversize_total", "Packets over the size limit";
        /// Packets to an address that belongs to no service.
        PacketsUnknownAddress = "packets_unknown_address_total", "Packets for an address of no service";
        /// Packets of a service without an available agent.
        PacketsNoAgent = "packets_no_agent_total", "Packets of a service that has no agent";
        /// Packets sent to the fabric.
        PacketsOut = "packets_out_total", "Packets sent to the fabric";
        /// Packets dropped by an agent during the owner lookup for their flow.
        PacketsAwaitingOwner = "packets_awaiting_owner_total", "Packets dropped while the owner of their flow is looked up";
        /// Packets dropped at the hop limit.
        PacketsHopLimit = "packets_hop_limit_total", "Packets dropped at the hop limit";
        /// Packets dropped by an agent because no bundle is in force.
        PacketsDroppedNoBundle = "packets_dropped_total", "Packets dropped by an agent", reason = "no-bundle";
        /// Packets dropped by an agent because the failure domain is out.
        PacketsDroppedDomainOut = "packets_dropped_total", "Packets dropped by an agent", reason = "domain-out";
        /// Packets dropped by an agent because they are for another service.
        PacketsDroppedWrongService = "packets_dropped_total", "Packets dropped by an agent", reason = "wrong-service";
        /// Packets dropped by an agent because no agent accepts new flows.
        PacketsDroppedNoOwner = "packets_dropped_total", "Packets dropped by an agent", reason = "no-owner";
        /// Packets dropped by an agent because another agent wrongly assumed that this one owns the
        /// flow.
        PacketsDroppedNotOwner = "packets_dropped_total", "Packets dropped by an agent", reason = "not-owner";
        /// Packets dropped by an agent because its limit of flows is reached.
        PacketsDroppedFlowsFull = "packets_dropped_total", "Packets dropped by an agent", reason = "flows-full";
        /// Packets dropped by an agent because its limit of pending owner lookups is reached.
        PacketsDroppedLookupsFull = "packets_dropped_total", "Packets dropped by an agent", reason = "lookups-full";
        /// Hedged SYNs dropped by an agent because its backend server can't serve them at once.
        PacketsDroppedHedged = "packets_dropped_total", "Packets dropped by an agent", reason = "hedged";
        /// SYNs dropped by an agent because their flow can't start in time, and a reset might be
        /// untruthful.
        PacketsDroppedOverloaded = "packets_dropped_total", "Packets dropped by an agent", reason = "overloaded";
        /// Packets dropped by an agent because the members of the service are not known yet.
        PacketsDroppedNotSettled = "packets_dropped_total", "Packets dropped by an agent", reason = "not-settled";
        /// Packets dropped by an agent because other processes have a newer bundle.
        PacketsDroppedBehind = "packets_dropped_total", "Packets dropped by an agent", reason = "behind";
        /// Resets dropped by an agent because no agent owns their flow.
        PacketsDroppedStray = "packets_dropped_total", "Packets dropped by an agent", reason = "stray";
        /// Datagrams that failed authentication.
        DatagramsForged = "datagrams_forged_total", "Datagrams that failed authentication";
        /// Datagrams that could not be decoded.
        DatagramsMalformed = "datagrams_malformed_total", "Datagrams that could not be decoded";
        /// Datagrams that could not be sent.
        DatagramsUnsent = "datagrams_unsent_total", "Datagrams that could not be sent";
        /// Links that failed authentication.
        LinksForged = "links_forged_total", "Links that failed authentication";
        /// Links replaced because they were silent or lost.
        LinksReplaced = "links_replaced_total", "Links replaced because they were silent or lost";
        /// Flows that started.
        FlowsStarted = "flows_started_total", "Flows that started at this agent";
        /// Flows that ended.
        FlowsEnded = "flows_ended_total", "Flows that ended at this agent";
        /// Flows aborted with a reset.
        FlowsReset = "flows_reset_total", "Flows given up with a reset";
        /// New flows rejected because no backend server can serve them within their objective.
        FlowsRejectedOverloaded = "flows_rejected_total", "New flows that were rejected without being run", reason = "overloaded";
        /// New flows rejected because no backend server accepts new flows.
        FlowsRejectedNobodyTakes = "flows_rejected_total", "New flows that were rejected without being run", reason = "nobody-takes";
        /// New flows passed to another agent because the backend server has no free slot.
        FlowsPassedOnBusy = "flows_passed_on_total", "New flows that were passed to another agent", reason = "busy";
        /// New flows passed to another agent that is expected to complete the request sooner.
        FlowsPassedOnOverloaded = "flows_passed_on_total", "New flows that were passed to another agent", reason = "overloaded";
        /// New flows passed to another agent because the backend server accepts none.
        FlowsPassedOnShut = "flows_passed_on_total", "New flows that were passed to another agent", reason = "shut";
        /// New flows passed to another agent because the backend server returned the SYN.
        FlowsPassedOnReturned = "flows_passed_on_total", "New flows that were passed to another agent", reason = "returned";
        /// New flows passed to another agent because the backend server did not answer the SYN.
        FlowsPassedOnUnanswered = "flows_passed_on_total", "New flows that were passed to another agent", reason = "unanswered";
        /// Hedged SYNs sent by a balancer.
        HedgedSynsSent = "hedged_syns_total", "Hedged SYNs that this balancer sent";
        /// Hedged SYNs not sent because the limit was reached.
        HedgedSynsDeniedLimit = "hedged_syns_denied_total", "Hedged SYNs that this balancer did not send", reason = "limit";
        /// Hedged SYNs not sent because no other agent announces a free slot.
        HedgedSynsDeniedNoSlot = "hedged_syns_denied_total", "Hedged SYNs that this balancer did not send", reason = "no-slot";
        /// SYNs that can't be hedged because too many others await their flow's next packet.
        HedgedSynsDeniedFull = "hedged_syns_denied_total", "Hedged SYNs that this balancer did not send", reason = "full";
        /// Packets answered with a reset because no agent owns their flow.
        FlowsUnowned = "flows_unowned_total", "Packets answered with a reset because no agent owns their flow";
        /// Flows handed over to another agent.
        FlowsMovedOut = "flows_moved_out_total", "Flows handed to another agent";
        /// Flows taken over from another agent.
        FlowsMovedIn = "flows_moved_in_total", "Flows taken over from another agent";
        /// Requests received from callers.
        RequestsIn = "requests_in_total", "Requests that came from callers";
        /// Requests whose complete response was relayed to the caller.
        RequestsDone = "requests_done_total", "Requests whose answer was passed on whole";
        /// Requests refused without being run.
        RequestsRefused = "requests_refused_total", "Requests refused as not run";
        /// Requests that ended with an unknown outcome.
        RequestsUnknown = "requests_unknown_total", "Requests that ended with an unknown outcome";
        /// Requests handed over to another agent of the service.
        RequestsHandedOver = "requests_handed_over_total", "Requests handed to a sibling agent";
        /// Requests taken over from another agent of the service.
        RequestsTakenOver = "requests_taken_over_total", "Requests taken from a sibling agent";
        /// Requests retried because the backend server or the other agent refused them.
        RequestsRetriedRefused = "requests_retried_total", "Requests that were tried again", reason = "refused";
        /// Requests retried because the response of the backend server was an error.
        RequestsRetriedFailed = "requests_retried_total", "Requests that were tried again", reason = "failed";
        /// Requests retried because the connection was lost.
        RequestsRetriedCut = "requests_retried_total", "Requests that were tried again", reason = "cut";
        /// Requests retried because no response was received.
        RequestsRetriedSilent = "requests_retried_total", "Requests that were tried again", reason = "silent";
        /// Hedged requests sent to another agent of the service.
        HedgesSent = "hedged_requests_total", "Second copies of requests sent to a sibling agent";
        /// Hedged requests whose second copy responded first.
        HedgesWon = "hedged_requests_won_total", "Second copies of requests that answered first";
        /// Requests not hedged because no other agent was warm, or all had declined a moment ago.
        HedgesDeniedNoSibling = "hedged_requests_denied_total", "Second copies of requests that were denied", reason = "no-sibling";
        /// Requests not hedged because the agents that were asked declined or did not answer.
        HedgesDeniedDeclined = "hedged_requests_denied_total", "Second copies of requests that were denied", reason = "declined";
        /// Slots for hedged requests declined to other agents because none is to spare.
        HedgesDeniedNoSlot = "hedged_requests_denied_total", "Second copies of requests that were denied", reason = "no-slot";
        /// Slots for hedged requests declined to other agents because of the limit.
        HedgesDeniedLimit = "hedged_requests_denied_total", "Second copies of requests that were denied", reason = "limit";
        /// Connections opened to the backend server.
        BackendConnections = "backend_connections_total", "Connections opened to the backend server";
        /// Backend connections closed before the response to an abandoned request.
        BackendAbandonedWaiting = "backend_abandoned_total", "Backend connections closed with an abandoned request", reason = "no-answer";
        /// Backend connections closed during the response to an abandoned request.
        BackendAbandonedAnswering = "backend_abandoned_total", "Backend connections closed with an abandoned request", reason = "answer-part";
        /// Backend connections closed because their response belongs to another request.
        BackendAbandonedOther = "backend_abandoned_total", "Backend connections closed with an abandoned request", reason = "other-response";
        /// Bundles put in force.
        BundlesApplied = "bundles_applied_total", "Bundles put in force";
        /// Bundles refused.
        BundlesRefused = "bundles_refused_total", "Bundles refused";
        /// Bundles pulled as complete text.
        BundlesPulledWhole = "bundles_pulled_whole_total", "Bundles pulled whole from another process";
        /// Bundles pulled as differences.
        BundlesPulledDifference = "bundles_pulled_difference_total", "Bundles pulled as differences to the bundle in force";
        /// Pulled differences that did not produce a valid bundle, so that the complete bundle was
        /// pulled instead.
        BundleDifferencesUnfit = "bundle_differences_unfit_total", "Differences that made no bundle that counts";
        /// Bytes of pulled bundles and differences.
        BundleBytesIn = "bundle_bytes_in_total", "Bytes of pulled bundles and differences";
        /// Bytes of bundles and differences sent to other processes.
        BundleBytesOut = "bundle_bytes_out_total", "Bytes of bundles and differences given to other processes";
        /// Bytes sent between control VMs for the control log.
        LogBytesOut = "log_bytes_out_total", "Bytes of messages of the control log sent";
        /// Bytes of control messages sent.
        ControlBytesOut = "control_bytes_out_total", "Bytes of control messages sent";
        /// Bytes of control messages received.
        ControlBytesIn = "control_bytes_in_total", "Bytes of control messages received";
    }
}

define_metrics! {
    /// The gauges of a process.
    Gauge {
        /// Open flows.
        FlowsOpen = "flows_open", "Flows open at this agent";
        /// SYNs in the admission queue of this agent.
        FlowsWaiting = "flows_waiting", "New flows that wait at this agent for a slot";
        /// The share of new flows that this agent announces, from 1 to 16, or 0 if it accepts none.
        WeightStep = "weight_step", "Share of new flows that this agent asks for, from 1 to 16, 0 when it accepts none";
        /// The mean service time in milliseconds, or 0 if it is unknown.
        ServiceTimeMs = "service_time_ms", "Mean service time of requests in milliseconds, 0 when unknown";
        /// Requests running at the backend server.
        RequestsRunning = "requests_running", "Requests that run at the backend server";
        /// Requests waiting for a slot.
        RequestsWaiting = "requests_waiting", "Requests that wait for a slot";
        /// The admission limit, in concurrent requests.
        AdmissionLimit = "admission_limit", "Requests that the backend server may run at a time";
        /// 1 when this agent grants claims of idempotency keys, else 0.
        KeysReady = "keys_ready", "1 when this agent grants claims of idempotency keys";
        /// Stored records of idempotency keys.
        KeysHeld = "keys_held", "Records of idempotency keys";
        /// Links that this process dialed.
        LinksOpen = "links_open", "Links that this process dialed";
        /// The version of the bundle in force.
        BundleVersion = "bundle_version", "Version of the bundle in force";
        /// Members that are alive.
        MembersAlive = "members_alive", "Members that are alive";
        /// The term of the control log.
        QuorumTerm = "quorum_term", "Term of the control log";
        /// 1 when this control VM is the leader, else 0.
        QuorumLeader = "quorum_leader", "1 when this control VM leads";
    }
}

/// The latency histograms of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Latency {
    /// The time from a request's first packet to its response's first packet, at the agent.
    Request,
    /// The time that a SYN spent in the admission queue of the agent.
    FlowWait,
}

impl Latency {
    const ALL: &'static [Latency] = &[Latency::Request, Latency::FlowWait];

    fn opts(self) -> HistogramOpts {
        let (name, help) = match self {
            Self::Request => (
                "request_seconds",
                "Time from a request's first packet to its answer's first packet",
            ),
            Self::FlowWait => (
                "flow_wait_seconds",
                "Time that a new flow waited at the agent for a slot",
            ),
        };
        HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec())
    }
}

/// The upper bounds of the histogram buckets in seconds, which range from a response on the same VM
/// to a caller's deadline.
const LATENCY_BUCKETS_SECONDS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    counts: Vec<IntCounter>,
    gauges: Vec<IntGauge>,
    latencies: Vec<Histogram>,
}

impl Metrics {
    /// Registers all metrics, initialized to zero.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Library`] when the library rejects a metric.
    pub fn new() -> Result<Self> {
        let registry = Registry::new_custom(Some("buckthornweir".into()), None)?;
        let mut counts = Vec::new();
        for count in Count::ALL {
            let metric = IntCounter::with_opts(count.opts())?;
            registry.register(Box::new(metric.clone()))?;
            counts.push(metric);
        }
        let mut gauges = Vec::new();
        for gauge in Gauge::ALL {
            let metric = IntGauge::with_opts(gauge.opts())?;
            registry.register(Box::new(metric.clone()))?;
            gauges.push(metric);
        }
        let mut latencies = Vec::new();
        for latency in Latency::ALL {
            let metric = Histogram::with_opts(latency.opts())?;
            registry.register(Box::new(metric.clone()))?;
            latencies.push(metric);
        }
        Ok(Self {
            registry,
            counts,
            gauges,
            latencies,
        })
    }

    /// Increments a counter by one.
    pub fn count(&self, count: Count) {
        self.counts[count as usize].inc();
    }

    /// Increments a counter by `amount`.
    pub fn count_by(&self, count: Count, amount: u64) {
        self.counts[count as usize].inc_by(amount);
    }

    /// Returns the value of a counter.
    pub fn counted(&self, count: Count) -> u64 {
        self.counts[count as usize].get()
    }

    /// Adds an observation to a latency histogram.
    pub fn observe(&self, latency: Latency, elapsed: Duration) {
        self.latencies[latency as usize].observe(elapsed.as_secs_f64());
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: i64) {
        self.gauges[gauge as usize].set(value);
    }

    /// Returns the value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> i64 {
        self.gauges[gauge as usize].get()
    }

    /// Encodes all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Library`] when the library cannot encode them.
    pub fn to_text(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
