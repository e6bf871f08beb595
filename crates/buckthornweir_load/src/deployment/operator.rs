//! Pushes bundles to the control processes, as the operators' client does.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_bundle::{Bundle, SignedBundle, SigningKey};
use buckthornweir_standins::uptime;
use buckthornweir_wire::{
    Body, ClusterKey, Envelope, Link, OperatorMessage, PushOutcome, PushReply, PushRequest, Reply,
    Request,
};

use super::settings::CLUSTER_KEY;
use crate::fault::{Fault, Result};

/// How long a push is repeated while its outcome is not known.
const PUSH_LIMIT: Duration = Duration::from_secs(30);
const PUSH_PAUSE: Duration = Duration::from_millis(100);
/// How long one control process may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Signs bundles and pushes them.
pub(crate) struct Operator {
    key: SigningKey,
    controls: Vec<SocketAddr>,
}

impl Operator {
    pub(crate) fn new(key: SigningKey) -> Self {
        Self {
            key,
            controls: Vec::new(),
        }
    }

    pub(crate) fn key(&self) -> &SigningKey {
        &self.key
    }

    pub(crate) fn add_control(&mut self, control: SocketAddr) {
        self.controls.push(control);
    }

    /// Pushes a bundle until it is accepted; sending it again is safe.
    pub(crate) async fn push(&self, bundle: Bundle) -> Result<()> {
        let text = SignedBundle::sign(bundle, &self.key).to_text();
        let limit = uptime() + PUSH_LIMIT;
        let mut last = PushOutcome::Unspecified;
        while uptime() < limit {
            for control in &self.controls {
                let reply = push_to(*control, text.clone()).await;
                last = reply.map_or(PushOutcome::Unknown, |reply| reply.outcome());
                if matches!(last, PushOutcome::Accepted | PushOutcome::Same) {
                    return Ok(());
                }
            }
            tokio::time::sleep(PUSH_PAUSE).await;
        }
        Err(Fault::NotInForce(last))
    }
}

/// Pushes to one control process; nothing comes back when it doesn't answer in time.
async fn push_to(control: SocketAddr, text: String) -> Option<PushReply> {
    let key = ClusterKey::new(CLUSTER_KEY);
    let mut link = Link::dial(control, &key, ANSWER_LIMIT).await.ok()?;
    let message = OperatorMessage::ask(1, Request::Push(PushRequest { text }));
    let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
    link.send(&envelope).await.ok()?;
    let limit = uptime() + ANSWER_LIMIT;
    while uptime() < limit {
        let body = link.receive(ANSWER_LIMIT).await.ok()?.body;
        let Some(Body::Operator(message)) = body else {
            continue;
        };
        if let Some(Reply::Push(reply)) = message.reply {
            return Some(reply);
        }
    }
    None
}
