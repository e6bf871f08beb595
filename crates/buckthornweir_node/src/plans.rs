//! The plan in force at a process, and the document that it was read from.

use std::collections::BTreeMap;
use std::sync::Arc;

use buckthornweir_forward::plan::Plan;
use buckthornweir_members::BundleStamp;
use sha2::{Digest, Sha256};
use smol_str::{SmolStr, ToSmolStr};

use crate::messages::PlanMessage;

/// Reads a configuration as an operator sent it; the revision and the failure domains that are out come
/// from the log. Returns the reason for which it is invalid.
pub type PlanReader = fn(&[u8]) -> Result<Plan, SmolStr>;

/// What the log holds: a configuration, and which failure domains are out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Document {
    /// State of the log that the document stands for.
    pub revision: u64,
    /// Version of the configuration, 0 for none.
    pub version: u64,
    /// The configuration as an operator sent it.
    pub text: Vec<u8>,
    /// Failure domains that are out.
    pub domains_out: Vec<SmolStr>,
    /// Failure domains that were taken back, with the state of the log that the last order to do so made.
    pub domains_back: BTreeMap<SmolStr, u64>,
}

impl Document {
    /// Returns what membership announces of the document.
    pub(crate) fn stamp(&self) -> BundleStamp {
        let mut hash = Sha256::new();
        hash.update(&self.text);
        for domain in &self.domains_out {
            hash.update([0]);
            hash.update(domain.as_bytes());
        }
        for (domain, index) in &self.domains_back {
            hash.update([1]);
            hash.update(domain.as_bytes());
            hash.update(index.to_be_bytes());
        }
        BundleStamp {
            version: self.revision,
            digest: hash.finalize().into(),
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

/// The newest plan that a process knows.
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

    /// Puts a document in force if it is newer than the one held. Returns whether it is in force now.
    pub(crate) fn apply(&mut self, document: Document) -> bool {
        if document.revision <= self.document.revision {
            return false;
        }
        let mut plan = match self.read(&document) {
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

    fn read(&self, document: &Document) -> Result<Plan, SmolStr> {
        if document.version == 0 {
            return Ok(Plan::default());
        }
        // A change of failure domains leaves the configuration as it is.
        if document.version == self.document.version {
            return Ok(Plan::clone(&self.plan));
        }
        (self.reader)(&document.text)
    }
}
