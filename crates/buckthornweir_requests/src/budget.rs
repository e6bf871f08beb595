//! Retry budget: retries stay a bounded share of the requests that arrive.

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries earned by one arriving request.
    pub per_request: f64,
    /// Most retries that can be saved up, also the amount at the start.
    pub capacity: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            per_request: 0.1,
            capacity: 10.0,
        }
    }
}

/// Token bucket that is filled by arriving requests and drained by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: BudgetConfig,
    tokens: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(config: BudgetConfig) -> Self {
        Self {
            config,
            tokens: config.capacity,
        }
    }

    /// Notes a request that arrived.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.config.per_request).min(self.config.capacity);
    }

    /// Takes one retry; returns false where none is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of whole retries left.
    pub fn available(&self) -> u32 {
        self.tokens as u32
    }
}
