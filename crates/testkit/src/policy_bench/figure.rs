//! Figures with their bounds and verdicts.

use std::fmt;

/// One figure of the benchmark.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: f64,
    /// What it must keep to.
    pub bound: Bound,
}

/// What a figure must keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
    /// Less than this.
    Below(f64),
    /// More than this.
    Above(f64),
    /// Anything; the figure is for comparison.
    None,
}

impl Figure {
    /// Makes a figure.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, bound: Bound) -> Self {
        Self {
            name: name.into(),
            value,
            bound,
        }
    }

    /// Returns whether the figure keeps to its bound.
    #[must_use]
    pub fn is_within_bound(&self) -> bool {
        match self.bound {
            Bound::AtMost(bound) => self.value <= bound,
            Bound::AtLeast(bound) => self.value >= bound,
            Bound::Below(bound) => self.value < bound,
            Bound::Above(bound) => self.value > bound,
            Bound::None => true,
        }
    }

    /// Returns the verdict in one word.
    #[must_use]
    pub fn verdict(&self) -> &'static str {
        match (self.bound, self.is_within_bound()) {
            (Bound::None, _) => "info",
            (_, true) => "ok",
            (_, false) => "FAILED",
        }
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(bound) => write!(f, "<= {bound:.4}"),
            Self::AtLeast(bound) => write!(f, ">= {bound:.4}"),
            Self::Below(bound) => write!(f, "< {bound:.4}"),
            Self::Above(bound) => write!(f, "> {bound:.4}"),
            Self::None => f.write_str("-"),
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bound = self.bound.to_string();
        let (name, value, verdict) = (&self.name, self.value, self.verdict());
        write!(f, "{name:<52} {value:>10.4}  {bound:<12} {verdict}")
    }
}
