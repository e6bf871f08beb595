//! The plan in force at a process, and the document from which it was parsed.

use std::collections::BTreeMap;
use std::sync::Arc;

use buckthornweir_forward::plan::Plan;
use buckthornweir_members::BundleStamp;
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, ToSmolStr};

use crate::messages::PlanMessage;

/// Parses a configuration as an operator sent it, or returns why it is invalid.
///
/// The revision and the failure domains that are out come from the log instead.
pub type PlanReader = fn(&[u8]) -> Result<Plan, SmolStr>;

/// The content of the log: a configuration, and the state of the failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// Revision of the log that the document reflects.
    pub revision: u64,
    /// Version of the configuration, 0 for none.
    pub version: u64,
    /// The configuration as an operator sent it.
    pub text: Vec<u8>,
    /// Failure domains that are out.
    pub domains_out: Vec<SmolStr>,
    /// Failure domains that were brought back, each with the revision of the last order that did
    /// so.
    pub domains_back: BTreeMap<SmolStr, u64>,
}

impl Document {
    /// Returns the revision and digest that the process announces for this document.
    pub(crate) fn stamp(&self) -> BundleStamp {
        let mut hasher = Sha256::new();
        hasher.update(&self.text);
        for domain in &self.domains_out {
            hasher.update([0]);
            hasher.update(domain.as_bytes());
        }
        for (domain, index) in &self.domains_back {
            hasher.update([1]);
            hasher.update(domain.as_bytes());
            hasher.update(index.to_be_bytes());
        }
        BundleStamp {
            version: self.revision,
            digest: hasher.finalize().into(),
        }
    }
}

impl From<&Document> for PlanMessage {
    fn from(document: &Document) -> Self {
        Self {
            revision: document.revision,
            version: document.version,
            text: document.text.clone(),
            domains_out: document
                .domains_out
                .iter()
                .map(ToString::to_string)
                .collect(),
            domains_back: document
                .domains_back
                .iter()
                .map(|(name, index)| (name.to_string(), *index))
                .collect(),
        }
    }
}

impl From<PlanMessage> for Document {
    fn from(message: PlanMessage) -> Self {
        Self {
            revision: message.revision,
            version: message.version,
            text: message.text,
            domains_out: message
                .domains_out
                .iter()
                .map(ToSmolStr::to_smolstr)
                .collect(),
            domains_back: message
                .domains_back
                .into_iter()
                .map(|(name, index)| (name.into(), index))
                .collect(),
        }
    }
}

/// The newest plan that the process knows.
#[derive(Debug)]
pub(crate) struct Plans {
    reader: PlanReader,
    document: Arc<Document>,
    plan: Arc<Plan>,
}

impl Plans {
    pub(crate) fn new(reader: PlanReader) -> Self {
        Self {
            reader,
            document: Arc::default(),
            plan: Arc::default(),
        }
    }

    pub(crate) fn plan(&self) -> &Arc<Plan> {
        &self.plan
    }

    pub(crate) fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Puts a document in force if it is valid and newer than the current one. Returns whether it
    /// did.
    pub(crate) fn apply(&mut self, document: Document) -> bool {
        if document.revision <= self.document.revision {
            return false;
        }
        let mut plan = match self.parse(&document) {
            Ok(plan) => plan,
            Err(reason) => {
                tracing::error!(
                    event = "plan_refused",
                    revision = document.revision,
                    version = document.version,
                    %reason,
                );
                return false;
            }
        };
        plan.revision = document.revision;
        plan.version = document.version;
        plan.domains_out = document.domains_out.iter().cloned().collect();
        plan.domains_back = document.domains_back.clone();
        tracing::info!(
            event = "plan_applied",
            revision = document.revision,
            version = document.version,
            before = self.document.version,
            routes = plan.routes.len(),
            domains_out = ?document.domains_out,
            domains_back = ?document.domains_back,
        );
        self.plan = Arc::new(plan);
        self.document = Arc::new(document);
        true
    }

    fn parse(&self, document: &Document) -> Result<Plan, SmolStr> {
        if document.version == 0 {
            return Ok(Plan::default());
        }
        // An order for a failure domain does not change the configuration.
        if document.version == self.document.version {
            return Ok(Plan::clone(&self.plan));
        }
        (self.reader)(&document.text)
    }
}
