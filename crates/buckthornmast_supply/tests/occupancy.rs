//! Reports of the requests at targets.

use std::time::Duration;

use buckthornmast_supply::occupancy::report_interval;

/// Guards against a leader that gets more reports the more instances there are.
#[test]
fn report_interval_grows() {
    for (instances, millis) in [(0, 50), (1, 50), (75, 50), (76, 100), (300, 200)] {
        let interval = report_interval(instances);
        assert_eq!(interval, Duration::from_millis(millis), "{instances}");
    }
}
