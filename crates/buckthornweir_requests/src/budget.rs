//! Retry budget, which bounds retries to a share of the arriving requests.

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Tokens added by each arriving request; one retry costs one token.
    pub per_request: f64,
    /// Maximum number of tokens, which is also the initial number.
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

/// Token bucket that arriving requests fill and retries drain.
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

    /// Adds the tokens for one arriving request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.config.per_request).min(self.config.capacity);
    }

    /// Takes the token for one retry; returns false if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes the token for one hedged request. Half of the capacity is left to retries, without
    /// which a request fails.
    pub fn try_withdraw_spare(&mut self) -> bool {
        self.tokens - 1.0 >= self.config.capacity / 2.0 && self.try_withdraw()
    }

    /// Sets the tokens added by each arriving request.
    pub fn set_rate(&mut self, per_request: f64) {
        self.config.per_request = per_request;
    }

    /// Returns the number of retries that the tokens allow.
    pub fn available(&self) -> u32 {
        self.tokens as u32
    }
}
