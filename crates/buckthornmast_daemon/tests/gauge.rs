//! Tests of the fill level of claims as shown to operators.

use buckthornmast_daemon::claims::Gauge;
use buckthornmast_state::claims::Usage;

/// Guards against a warning that is missing at 80 %, repeated every second, or never rearmed.
#[test]
fn update_warns_once() {
    let mut gauge = Gauge::default();
    let warned = [0, 79, 80, 81, 99, 79, 80, 74, 79, 80, 100].map(|percent| {
        gauge.update(&Usage {
            percent,
            ..Usage::default()
        })
    });
    let expected = [
        false, false, true, false, false, false, false, false, false, true, false,
    ];
    assert_eq!(warned, expected);
}
