//! Binds the sockets of a process.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::Metrics;
use buckthornweir_forward::agent::{Agent, AgentConfig};
use buckthornweir_forward::balancer::Balancer;
use buckthornweir_forward::hedging::Hedging;
use tokio::net::{TcpListener, UdpSocket};
use tokio_util::sync::CancellationToken;

use super::Role;
use crate::control::Replica;
use crate::fault::{NodeError, Result};
use crate::http_server::serve_http;
use crate::packets::PacketSocket;
use crate::settings::{NodeSettings, RoleSettings};

/// Maximum size of the body of a metrics request.
const MAX_METRICS_BODY_BYTES: usize = 1_024;

pub(super) async fn bind_role(
    settings: &NodeSettings,
    node: u64,
    unix_time: Duration,
) -> Result<Role> {
    Ok(match &settings.role {
        RoleSettings::Balancer(balancer) => Role::Balancer {
            core: Balancer::new(settings.domain.clone()),
            hedging: Box::new(Hedging::new(settings.domain.clone(), balancer.second_tries)),
            packets: PacketSocket::bind("packets", balancer.packets).await?,
            grace: balancer.grace,
        },
        RoleSettings::Agent(agent) => {
            let config = AgentConfig {
                node,
                packet_addr: settings.announced_addr(agent.packets),
                domain: settings.domain.clone(),
                service: agent.service.clone(),
                cold_bound: agent.cold_bound,
                report_period: agent.report_period,
                started_ms: u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX),
            };
            Role::Agent {
                core: Box::new(Agent::new(config)),
                packets: PacketSocket::bind("packets", agent.packets).await?,
                outbound: PacketSocket::bind("outbound", agent.outbound).await?,
                backend: agent.backend,
            }
        }
        RoleSettings::Control(control) => {
            let replica = Replica::new(Duration::ZERO, settings, control);
            Role::Control(Box::new(replica))
        }
    })
}

pub(super) async fn bind_peer_socket(settings: &NodeSettings) -> Result<UdpSocket> {
    let address = SocketAddr::V4(settings.peer_addr());
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|source| NodeError::Bind {
        what: "messages",
        address,
        source,
    })
}

pub(super) async fn listen(what: &'static str, address: SocketAddrV4) -> Result<TcpListener> {
    let address = SocketAddr::V4(address);
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| NodeError::Bind {
        what,
        address,
        source,
    })
}

pub(super) async fn serve_metrics(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
) {
    serve_http(listener, MAX_METRICS_BODY_BYTES, stop, move |_| {
        let metrics = metrics.clone();
        async move {
            match metrics.to_text() {
                Ok(text) => http::Response::new(text.into_bytes().into()),
                Err(error) => {
                    tracing::error!(event = "metrics_failed", %error);
                    let mut response = http::Response::new(http_body_util::Full::default());
                    *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
                    response
                }
            }
        }
    })
    .await;
}
