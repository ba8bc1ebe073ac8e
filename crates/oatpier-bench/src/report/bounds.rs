//! The committed bounds of every gating figure.
//!
//! `bounds.toml` holds one entry a figure: its lowest and highest allowed value, and the commit
//! that set it. Only deterministic figures are bounded; times of this machine are printed only.

use std::fmt;

use indexmap::IndexMap;
use serde::Deserialize;

const BOUNDS_TEXT: &str = include_str!("../../bounds.toml");

/// The bound of one figure.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FigureBound {
    /// The lowest allowed value.
    pub min: Option<f64>,
    /// The highest allowed value.
    pub max: Option<f64>,
    /// The commit, or the release, that set the bound.
    pub set_by: String,
}

/// A figure as measured.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasuredFigure {
    /// Its name, as in `bounds.toml`.
    pub name: String,
    /// Its value.
    pub value: f64,
}

/// A figure outside its bound, or a bound whose figure was not measured.
#[derive(Debug, Clone, PartialEq)]
pub struct BoundBreach {
    name: String,
    value: Option<f64>,
    bound: FigureBound,
}

impl fmt::Display for BoundBreach {
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

/// All bounds of one bench.
#[derive(Debug, Clone, Default)]
pub struct BoundBook {
    bounds: IndexMap<String, FigureBound>,
}

impl BoundBook {
    /// The committed bounds of the bench named `bench`.
    ///
    /// # Panics
    ///
    /// If the committed file is malformed.
    #[must_use]
    pub fn of(bench: &str) -> Self {
        Self::parse(BOUNDS_TEXT, bench).expect("bounds.toml is well-formed")
    }

    /// The bounds of the bench named `bench` in a file's text.
    ///
    /// # Errors
    ///
    /// If the text is malformed.
    pub fn parse(text: &str, bench: &str) -> Result<Self, toml::de::Error> {
        let mut all: IndexMap<String, IndexMap<String, FigureBound>> = toml::from_str(text)?;
        let bounds = all.swap_remove(bench).unwrap_or_default();
        Ok(Self { bounds })
    }

    /// The names of the bounded figures.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.bounds.keys().map(String::as_str)
    }

    /// What is out of bounds.
    #[must_use]
    pub fn check(&self, figures: &[MeasuredFigure]) -> Vec<BoundBreach> {
        self.bounds
            .iter()
            .filter_map(|(name, bound)| {
                let value = figures
                    .iter()
                    .find(|figure| figure.name == *name)
                    .map(|figure| figure.value);
                (!is_within(bound, value)).then(|| BoundBreach {
                    name: name.clone(),
                    value,
                    bound: bound.clone(),
                })
            })
            .collect()
    }

    /// Prints what is out of bounds on stderr. Gives whether everything is within.
    #[must_use]
    pub fn enforce(&self, figures: &[MeasuredFigure]) -> bool {
        let breaches = self.check(figures);
        for breach in &breaches {
            eprintln!("error: {breach}");
        }
        breaches.is_empty()
    }
}

fn is_within(bound: &FigureBound, value: Option<f64>) -> bool {
    value.is_some_and(|value| {
        bound.min.is_none_or(|min| value >= min) && bound.max.is_none_or(|max| value <= max)
    })
}
