//! Tests of the least-squares line.

use buckthornmast_trial::fit::Fit;

/// Guards against swapped sums, which would give a plausible but wrong slope.
#[test]
fn through_known_points() {
    let fit = Fit::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0), (3.0, 9.0)]).unwrap();
    assert!((fit.slope - 2.6).abs() < 1e-9);
    assert!((fit.offset - 0.6).abs() < 1e-9);
    assert!((fit.slope_error - 0.12_f64.sqrt()).abs() < 1e-9);
    assert!((fit.offset_error - 0.42_f64.sqrt()).abs() < 1e-9);
}

/// Guards against a fit through two points or a single x, for which there are no standard errors.
#[test]
fn through_too_few_points() {
    assert_eq!(Fit::through(&[(0.0, 1.0), (1.0, 3.0)]), None);
    assert_eq!(Fit::through(&[(1.0, 1.0), (1.0, 3.0), (1.0, 2.0)]), None);
}
