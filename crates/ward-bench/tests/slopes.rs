//! Least-squares lines, and encoded sizes.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_bench::slopes::{SlopePoint, fit_line, measure_status, measure_wire};

#[googletest::test]
fn fit_line_exact_points() {
    let point = |size: f64| SlopePoint {
        size,
        value: 3.0 + 2.0 * size,
    };
    let fit = fit_line(&[point(1.0), point(5.0), point(9.0), point(20.0)]);
    expect_that!(fit.slope, near(2.0, 1e-9));
    expect_that!(fit.intercept, near(3.0, 1e-9));
    expect_that!(fit.error, near(0.0, 1e-9));
}

#[googletest::test]
fn wire_sizes_positive() {
    let sizes = measure_wire().unwrap();
    expect_that!(sizes.iter().all(|size| size.bytes > 0), eq(true));
    expect_that!(measure_status().unwrap().fit.slope, gt(0.0));
}
