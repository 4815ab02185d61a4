//! Least-squares lines through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SlopePoint {
    /// Number of items, of the kind that the series names.
    pub size: f64,
    /// Measured value, in the unit of the series.
    pub value: f64,
}

/// A least-squares line.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SlopeFit {
    /// Growth of the value per item.
    pub slope: f64,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Root mean square deviation from the line, divided by the mean value.
    pub error: f64,
}

/// Measured growth of one quantity with a size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SlopeSeries {
    /// Name of the quantity.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Kind of item that is counted as the size.
    pub per: &'static str,
    /// Measured points, smallest size first.
    pub points: Vec<SlopePoint>,
    /// Least-squares line through the points.
    pub fit: SlopeFit,
}

impl SlopeSeries {
    /// Makes a series and fits its line.
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

/// The least-squares line through some points; flat when all have the same size.
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
