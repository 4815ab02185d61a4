//! Straight lines through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SlopePoint {
    /// How many things there were.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// A least-squares line.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SlopeFit {
    /// Growth per thing.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Root of the mean squared deviation against the mean value.
    pub error: f64,
}

/// A measured dependence on a size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SlopeSeries {
    /// What was measured.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// What was counted as the size.
    pub per: &'static str,
    /// The points.
    pub points: Vec<SlopePoint>,
    /// The line through them.
    pub fit: SlopeFit,
}

impl SlopeSeries {
    /// A series with its line.
    #[must_use]
    pub fn new(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<SlopePoint>,
    ) -> Self {
        let fit = fit_line(&points);
        Self {
            name,
            unit,
            per,
            points,
            fit,
        }
    }
}

/// The least-squares line through some points; flat when they have one size.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn fit_line(points: &[SlopePoint]) -> SlopeFit {
    let count = (points.len() as f64).max(1.0);
    let mean = |value: &dyn Fn(&SlopePoint) -> f64| points.iter().map(value).sum::<f64>() / count;
    let mean_size = mean(&|point| point.size);
    let mean_value = mean(&|point| point.value);
    let variance = mean(&|point| (point.size - mean_size).powi(2));
    let covariance = mean(&|point| (point.size - mean_size) * (point.value - mean_value));
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let intercept = mean_value - slope * mean_size;
    let squared_error = mean(&|point| (point.value - intercept - slope * point.size).powi(2));
    let error = if mean_value == 0.0 {
        0.0
    } else {
        squared_error.sqrt() / mean_value.abs()
    };
    SlopeFit {
        slope,
        intercept,
        error,
    }
}
