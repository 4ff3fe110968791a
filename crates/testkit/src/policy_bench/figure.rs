//! Measured figures, the bounds they must satisfy, and the verdicts.

use std::fmt;

/// A measured value of the benchmark and its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// The name shown in the report.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// The bound that the value must satisfy.
    pub bound: Bound,
}

/// A bound on the value of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    /// At most this value.
    AtMost(f64),
    /// At least this value.
    AtLeast(f64),
    /// Strictly less than this value.
    Below(f64),
    /// Strictly more than this value.
    Above(f64),
    /// Any value: the figure is reported for comparison only.
    None,
}

impl Figure {
    /// Creates a figure.
    #[must_use]
    pub fn new(name: impl Into<String>, value: f64, bound: Bound) -> Self {
        Self {
            name: name.into(),
            value,
            bound,
        }
    }

    /// Returns whether the value satisfies the bound.
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

    /// Returns the verdict shown in the report: `ok`, `FAILED`, or `info` without a bound.
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
