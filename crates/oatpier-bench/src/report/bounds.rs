//! Committed bounds of the checked figures.
//!
//! `bounds.toml` holds one entry for each figure: its lowest and highest allowed value, and the commit or release that
//! set the bound. Only deterministic figures have bounds. Times that depend on the machine are only printed.

use std::fmt;

use indexmap::IndexMap;
use serde::Deserialize;

const BOUNDS_TEXT: &str = include_str!("../../bounds.toml");

/// Bound of one figure.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FigureBound {
    /// Lowest allowed value.
    pub min: Option<f64>,
    /// Highest allowed value.
    pub max: Option<f64>,
    /// Commit or release that set the bound.
    pub set_by: String,
}

/// Figure that a bench run measured.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasuredFigure {
    /// Name, as in `bounds.toml`.
    pub name: String,
    /// Measured value.
    pub value: f64,
}

/// Violation of a bound: a figure outside its bound, or a bound whose figure was not measured.
#[derive(Debug, Clone, PartialEq)]
pub struct BoundViolation {
    name: String,
    value: Option<f64>,
    bound: FigureBound,
}

impl fmt::Display for BoundViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, value, bound } = self;
        match value {
            Some(value) => write!(formatter, "{name} is {value:.4}")?,
            None => write!(formatter, "{name} was not measured")?,
        }
        if let Some(min) = bound.min {
            write!(formatter, ", at least {min} is wanted")?;
        }
        if let Some(max) = bound.max {
            write!(formatter, ", at most {max} is allowed")?;
        }
        write!(formatter, " (set by {})", bound.set_by)
    }
}

/// Bounds of one bench.
#[derive(Debug, Clone, Default)]
pub struct BoundSet {
    bounds: IndexMap<String, FigureBound>,
}

impl BoundSet {
    /// Returns the committed bounds of the bench named `bench`.
    ///
    /// # Panics
    ///
    /// If the committed file is malformed.
    #[must_use]
    pub fn of(bench: &str) -> Self {
        Self::parse(BOUNDS_TEXT, bench).expect("bounds.toml is well-formed")
    }

    /// Parses the bounds of the bench named `bench` from the text of a bounds file.
    ///
    /// # Errors
    ///
    /// If the text is malformed.
    pub fn parse(text: &str, bench: &str) -> Result<Self, toml::de::Error> {
        let mut all: IndexMap<String, IndexMap<String, FigureBound>> = toml::from_str(text)?;
        let bounds = all.swap_remove(bench).unwrap_or_default();
        Ok(Self { bounds })
    }

    /// Returns the names of the figures that have bounds.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.bounds.keys().map(String::as_str)
    }

    /// Returns the violated bounds.
    #[must_use]
    pub fn check(&self, figures: &[MeasuredFigure]) -> Vec<BoundViolation> {
        self.bounds
            .iter()
            .filter_map(|(name, bound)| {
                let value = figures
                    .iter()
                    .find(|figure| figure.name == *name)
                    .map(|figure| figure.value);
                (!is_within(bound, value)).then(|| BoundViolation {
                    name: name.clone(),
                    value,
                    bound: bound.clone(),
                })
            })
            .collect()
    }

    /// Prints the violated bounds to stderr. Returns `true` if there are none.
    #[must_use]
    pub fn enforce(&self, figures: &[MeasuredFigure]) -> bool {
        let violations = self.check(figures);
        for violation in &violations {
            eprintln!("error: {violation}");
        }
        violations.is_empty()
    }
}

fn is_within(bound: &FigureBound, value: Option<f64>) -> bool {
    value.is_some_and(|value| {
        bound.min.is_none_or(|min| value >= min) && bound.max.is_none_or(|max| value <= max)
    })
}
