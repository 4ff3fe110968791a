//! A token budget that limits extra calls to a share of the first calls.

/// Tokens that first calls earn and extra calls spend.
///
/// Over any period, extra calls are limited to `ratio` of the first calls plus the burst, so that a
/// fault cannot multiply the load.
#[derive(Clone, Copy, Debug)]
pub struct TokenBudget {
    tokens: f64,
    burst: f64,
}

impl TokenBudget {
    /// Creates a budget that holds at most `burst` tokens and starts with one.
    #[must_use]
    pub const fn new(burst: f64) -> Self {
        Self::with_tokens(1.0, burst)
    }

    /// Creates a budget that holds at most `burst` tokens and starts with `tokens`.
    #[must_use]
    pub const fn with_tokens(tokens: f64, burst: f64) -> Self {
        let tokens = tokens.min(burst);
        Self { tokens, burst }
    }

    /// Creates a budget that starts full, with `burst` tokens.
    #[must_use]
    pub const fn full(burst: f64) -> Self {
        Self::with_tokens(burst, burst)
    }

    /// Earns `ratio` tokens for each of `calls` first calls.
    pub fn earn(&mut self, calls: u32, ratio: f64) {
        self.tokens = (self.tokens + f64::from(calls) * ratio).min(self.burst);
    }

    /// Sets the maximum number of tokens that the budget holds. Tokens beyond that are lost.
    pub const fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Returns whether at least this many tokens are left.
    #[must_use]
    pub fn has(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Spends one token. Returns `false` if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back the token of an extra call that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}
