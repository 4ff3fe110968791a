//! A token budget that ties extra calls to first attempts.

/// Tokens that first attempts earn and extra calls spend.
///
/// Over any period the extra calls stay below `ratio` of the first attempts plus the burst, so
/// that a fault can't multiply the load.
#[derive(Clone, Copy, Debug)]
pub struct TokenBudget {
    tokens: f64,
    burst: f64,
}

impl TokenBudget {
    /// Makes a budget that holds at most `burst` tokens and starts with one.
    #[must_use]
    pub const fn new(burst: f64) -> Self {
        Self::with_tokens(1.0, burst)
    }

    /// Makes a budget that starts with some tokens.
    #[must_use]
    pub const fn with_tokens(tokens: f64, burst: f64) -> Self {
        let tokens = tokens.min(burst);
        Self { tokens, burst }
    }

    /// Makes a budget that starts with all the tokens that it may hold.
    #[must_use]
    pub const fn full(burst: f64) -> Self {
        Self::with_tokens(burst, burst)
    }

    /// Earns the tokens of `calls` first attempts.
    pub fn earn(&mut self, calls: u32, ratio: f64) {
        self.tokens = (self.tokens + f64::from(calls) * ratio).min(self.burst);
    }

    /// Sets how many tokens it may hold; those beyond are lost.
    pub const fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Returns whether at least this many tokens are left.
    #[must_use]
    pub fn has(&self, tokens: f64) -> bool {
        self.tokens >= tokens
    }

    /// Spends a token; returns false when there is none.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives back a token whose extra call was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}
