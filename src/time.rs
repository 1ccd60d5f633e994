//! Points in time and spans between them, kept apart by their types.

use std::ops::{Add, Sub};

/// A moment on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Point(u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Point {
    /// Later than all that comes.
    pub const NEVER: Point = Point(u64::MAX);

    pub fn from_ms(ms: f64) -> Self {
        Point((ms * 1000.0).round() as u64)
    }

    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// How many whole spans of this length lie before this moment.
    pub fn count(self, of: Span) -> u64 {
        self.0 / of.0.max(1)
    }

    /// The time gone by since `earlier`; nothing if that has yet to come.
    pub fn since(self, earlier: Point) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const fn millis(ms: u64) -> Self {
        Span(ms * 1000)
    }

    pub fn from_ms(ms: f64) -> Self {
        Span((ms * 1000.0).round() as u64)
    }

    pub fn as_ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    pub fn times(self, factor: f64) -> Self {
        Span((self.0 as f64 * factor) as u64)
    }

    /// This span as a share of `whole`.
    pub fn over(self, whole: Span) -> f64 {
        self.0 as f64 / whole.0.max(1) as f64
    }
}

impl Add<Span> for Point {
    type Output = Point;
    fn add(self, span: Span) -> Point {
        Point(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, span: Span) -> Span {
        Span(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Point {
    type Output = Point;
    fn sub(self, span: Span) -> Point {
        Point(self.0.saturating_sub(span.0))
    }
}
