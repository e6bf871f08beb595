//! The command `explain`, which shows where a caller's request would go, and why.

mod consequences;

use std::net::SocketAddr;

use buckthornweir_wire::{
    CandidateRow, CandidateVerdict, ExplainOutcome, ExplainReply, ExplainRequest, Reply, Request,
    StatusRequest, WireError,
};
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};

use super::{Context, needed};
use crate::client::{ExchangeError, ask, control_address, exchange, member, unreachable};
use crate::fault::{Fault, Result};
use crate::options::ExplainArguments;
use crate::output::table;
use consequences::{Consequences, RequestTraits, consequences};

#[derive(Serialize)]
struct Explanation {
    caller: SocketAddr,
    address: SocketAddr,
    service: String,
    protocol: &'static str,
    process: String,
    version: u64,
    view_age_ms: u64,
    candidates: Vec<CandidateLine>,
    choice: Option<String>,
    #[serde(flatten)]
    consequences: Consequences,
    key_holders: Vec<String>,
}

#[derive(Serialize)]
struct CandidateLine {
    agent: String,
    domain: String,
    state: String,
    weight: u32,
    share: f64,
    free: u32,
    chosen: bool,
    reason: &'static str,
}

/// Asks one process where the request would go, and prints its reply.
pub(crate) async fn run(context: &Context, arguments: ExplainArguments) -> Result<()> {
    let caller = address(needed(arguments.caller, "CALLER", "explain")?)?;
    let service = address(needed(arguments.service, "SERVICE", "explain")?)?;
    if caller.is_ipv4() != service.is_ipv4() {
        return Err(Fault::IpVersions { caller, service });
    }
    let traits = RequestTraits {
        is_idempotent: arguments.idempotent.map(yes_no).transpose()?,
        has_key: arguments.key.is_some(),
    };
    let request = ExplainRequest {
        caller: caller.to_string(),
        service: service.to_string(),
        key: arguments.key.unwrap_or_default().into_bytes(),
    };
    let reply = match arguments.name {
        Some(name) => {
            let node = control_address(&member(&context.settings, &name).await?)?;
            ask_process(context, node, name.into(), request).await?
        }
        None => ask_first(context, request).await?,
    };
    check(&reply, service)?;
    let explanation = explanation(caller, service, reply, traits);
    let text = || text_of(&explanation);
    context.output.print(&explanation, text);
    Ok(())
}

fn address(text: String) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| Fault::Address { text: text.into() })
}

fn yes_no(text: String) -> Result<bool> {
    match text.as_str() {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(Fault::YesNo {
            argument: "--idempotent",
            text: text.into(),
        }),
    }
}

/// Asks the processes of the settings in turn until one replies.
async fn ask_first(context: &Context, request: ExplainRequest) -> Result<ExplainReply> {
    let mut last = WireError::TimedOut;
    for &node in &context.settings.nodes {
        match ask_process(context, node, node.to_smolstr(), request.clone()).await {
            Err(Fault::Unreachable { source, .. }) => last = source,
            result => return result,
        }
    }
    Err(unreachable(&context.settings, last))
}

/// Asks one process. Earlier releases send no reply to this request, so a process that replies only
/// to a request for its status is too old.
async fn ask_process(
    context: &Context,
    node: SocketAddr,
    process: SmolStr,
    request: ExplainRequest,
) -> Result<ExplainReply> {
    match exchange(&context.settings, node, Request::Explain(request)).await {
        Ok(Reply::Explain(reply)) => Ok(reply),
        Ok(_) => Err(Fault::Reply),
        Err(ExchangeError::NotSent(source)) => Err(Fault::Unreachable {
            tried: node.to_smolstr(),
            source,
        }),
        Err(ExchangeError::NoReply) => {
            ask(&context.settings, node, Request::Status(StatusRequest {})).await?;
            Err(Fault::TooOld { process })
        }
    }
}

fn check(reply: &ExplainReply, address: SocketAddr) -> Result<()> {
    let process = reply.process.to_smolstr();
    match reply.outcome() {
        ExplainOutcome::Explained => Ok(()),
        ExplainOutcome::NotBalancer => Err(Fault::NotBalancer { process }),
        ExplainOutcome::NoBundle => Err(Fault::NoBundle),
        ExplainOutcome::NoService => Err(Fault::NoService {
            address,
            process,
            version: reply.version,
        }),
        ExplainOutcome::Invalid | ExplainOutcome::Unspecified => Err(Fault::Reply),
    }
}

fn explanation(
    caller: SocketAddr,
    address: SocketAddr,
    reply: ExplainReply,
    traits: RequestTraits,
) -> Explanation {
    let is_chosen = |row: &&CandidateRow| row.verdict() == CandidateVerdict::Chosen;
    let choice = reply.candidates.iter().find(is_chosen);
    let choice = choice.map(|row| row.name.clone());
    let consequences = consequences(&reply, choice.as_deref(), traits);
    Explanation {
        caller,
        address,
        service: reply.service,
        protocol: if reply.limits.is_some() {
            "http"
        } else {
            "tcp"
        },
        process: reply.process,
        version: reply.version,
        view_age_ms: reply.view_age_millis,
        candidates: reply.candidates.into_iter().map(candidate_line).collect(),
        choice,
        consequences,
        key_holders: reply.key_holders,
    }
}

fn candidate_line(row: CandidateRow) -> CandidateLine {
    let verdict = row.verdict();
    CandidateLine {
        agent: row.name,
        domain: row.domain,
        state: row.state,
        weight: row.weight,
        share: row.share,
        free: row.free,
        chosen: verdict == CandidateVerdict::Chosen,
        reason: reason(verdict),
    }
}

fn reason(verdict: CandidateVerdict) -> &'static str {
    match verdict {
        CandidateVerdict::Chosen => "chosen: placement selects it",
        CandidateVerdict::RankedLower => "not chosen: ranks after the agents above",
        CandidateVerdict::Draining => "not chosen: is draining",
        CandidateVerdict::NoWeight => "not chosen: announces weight 0",
        CandidateVerdict::DomainOut => "not chosen: its failure domain is out",
        CandidateVerdict::Unspecified => "unknown to this version of the client",
    }
}

fn text_of(explanation: &Explanation) -> String {
    let consequences = &explanation.consequences;
    let mut lines = vec![
        format!(
            "{} to {}: service {} ({})",
            explanation.caller, explanation.address, explanation.service, explanation.protocol
        ),
        format!(
            "asked {}: bundle version {}, view built {} ms ago",
            explanation.process, explanation.version, explanation.view_age_ms
        ),
        candidate_table(&explanation.candidates),
        format!(
            "choice: {}",
            explanation.choice.as_deref().unwrap_or("none")
        ),
        format!("if it is full: {}", consequences.if_full),
        format!("if it refuses: {}", consequences.if_refused),
        format!("if it fails: {}", consequences.if_failed),
    ];
    if !explanation.key_holders.is_empty() {
        lines.push(format!(
            "holders of the key: {}",
            explanation.key_holders.join(", ")
        ));
    }
    lines.join("\n")
}

fn candidate_table(lines: &[CandidateLine]) -> String {
    let header = [
        "agent", "domain", "state", "weight", "share", "free", "reason",
    ];
    let rows = lines.iter().map(|line| {
        [
            line.agent.clone(),
            line.domain.clone(),
            line.state.clone(),
            line.weight.to_string(),
            format!("{:.1}%", 100.0 * line.share),
            line.free.to_string(),
            line.reason.to_owned(),
        ]
    });
    table(&header, rows)
}
