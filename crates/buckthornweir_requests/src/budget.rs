//! Retry budget: retries stay a bounded share of the requests that arrive.

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries earned by one arriving request.
    pub per_request: f64,
    /// Most retries that can be saved up, also the amount at the start.
    pub most: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            per_request: 0.1,
            most: 10.0,
        }
    }
}

/// Token bucket that is filled by arriving requests and drained by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: BudgetConfig,
    saved: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            config,
            saved: config.most,
        }
    }

    /// Notes a request that arrived.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.config.per_request).min(self.config.most);
    }

    /// Takes one retry; returns false where none is left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns the number of whole retries left.
    pub fn left(&self) -> u32 {
        self.saved as u32
    }
}
