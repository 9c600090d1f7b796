//! Settings of a process.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_node::{
    replica::max_folder_bytes,
    settings::{Service, Settings},
};
use buckthornmast_quota::account::Terms;
use buckthornmast_types::size::Bytes;

const ENTRY: &str = "[instance]\nname = front-1\ndomain = d1\nrole = entry\n\n[listen]\ncallers = 10.0.0.1:80\n\
                     ready = 10.0.0.1:81\nmetrics = 10.0.0.1:82\n\n[seeds]\ncontrol = 10.0.0.2:8144,10.0.0.3:8144\n\
                     port = 7380\n\n[bounds]\ngrace = 8s\nturn = 0.5s\nextra-ratio = 0.2\nextra-burst = 52\n\
                     descriptors = 4200\n";

const CORE: &str = "[instance]\nname = core-1\ndomain = d1\nrole = core\n\n[listen]\ncontrol = 10.0.0.2:8144\n\
                    peers = 10.0.0.2:7380\nmetrics = 10.0.0.2:7395\n\n[seeds]\ncontrol = 10.0.0.2:8144\nport = 7380\n\n\
                    [core]\ndata = /data\nfirst-start = true\nlosses = 1\n\n[bounds]\ngrace = 8s\nturn = 0.5s\n\
                    extra-ratio = 0.2\nextra-burst = 52\ndescriptors = 4200\n";

/// Guards against settings that are misread, and against peer addresses and member names that are derived wrongly.
#[test]
fn parse_entry() {
    let settings = Settings::parse("entry.ini", ENTRY).unwrap();
    assert!(matches!(settings.service, Service::Entry { .. }));
    assert_eq!(
        settings.bounds.handover_interval,
        Duration::from_millis(500)
    );
    assert_eq!(settings.bounds.extra_window, Duration::from_secs(10));
    let with_window = ENTRY.replace("extra-burst = 52", "extra-burst = 52\nextra-window = 4s");
    let settings_with_window = Settings::parse("entry.ini", &with_window).unwrap();
    assert_eq!(
        settings_with_window.bounds.extra_window,
        Duration::from_secs(4)
    );
    assert_eq!(settings.bounds.key_lease, None);
    let with_lease = ENTRY.replace("extra-burst = 52", "extra-burst = 52\nkey-lease = 5000ms");
    let settings_with_lease = Settings::parse("entry.ini", &with_lease).unwrap();
    assert_eq!(
        settings_with_lease.bounds.key_lease,
        Some(Duration::from_secs(5))
    );
    let peers: Vec<String> = settings.seed_peers().map(|seed| seed.to_string()).collect();
    assert_eq!(peers, ["10.0.0.2:7380", "10.0.0.3:7380"]);
    let member = Settings::member_name("10.0.0.2:8144".parse().unwrap()).unwrap();
    assert_eq!(member.as_str(), "10.0.0.2-8144");
}

/// Guards against a memory that is misread, and against one that is needed.
#[test]
fn parse_memory() {
    let settings = Settings::parse("entry.ini", ENTRY).unwrap();
    assert_eq!(settings.bounds.memory_bytes(), 256 << 20);
    let stated = format!("{ENTRY}memory = 112MB\n");
    let settings = Settings::parse("entry.ini", &stated).unwrap();
    assert_eq!(settings.bounds.memory_bytes(), 112_000_000);
    assert!(Settings::parse("entry.ini", &format!("{ENTRY}memory = much\n")).is_err());
}

/// Guards against a process that starts with unusable settings, against faults that don't name the key, and against
/// unknown keys that are refused.
#[test]
fn parse_faults() {
    for (valid, invalid, key) in [
        ("role = entry", "role = front", "role"),
        ("callers = 10.0.0.1:80", "callers = here", "callers"),
        ("grace = 8s", "grace = soon", "grace"),
        (
            "extra-burst = 52",
            "extra-burst = 52\nextra-window = long",
            "extra-window",
        ),
        (
            "extra-burst = 52",
            "extra-burst = 52\nkey-lease = 1s",
            "key-lease",
        ),
        ("10.0.0.3:8144", "nowhere", "control"),
        ("port = 7380", "", "port"),
    ] {
        let faults = Settings::parse("entry.ini", &ENTRY.replace(valid, invalid)).unwrap_err();
        let text: String = faults.iter().map(ToString::to_string).collect();
        assert!(text.contains(key), "{invalid}: {text}");
    }
    let extended = format!("{ENTRY}\n[later]\nkey = 1\n");
    assert!(
        Settings::parse("entry.ini", &extended).is_ok(),
        "unknown keys must be ignored"
    );
}

fn parse_core(disk: &str) -> Result<Settings, String> {
    let text = CORE.replace("losses = 1\n", &format!("losses = 1\n{disk}\n"));
    Settings::parse("core.ini", &text)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

/// Guards against a data folder that fills the smallest disk of the platform's sheets, or more than half of it.
#[test]
fn data_folder_fits_disk() {
    let folder = max_folder_bytes();
    println!("{} bytes", folder.0);
    assert!(folder.0 <= 64_000_000, "{} bytes", folder.0);
    let settings = parse_core("disk = 128MB").unwrap();
    assert_eq!(settings.warning(), None);
    assert!(
        matches!(
            settings.service,
            Service::Core {
                disk: Some(Bytes(128_000_000)),
                ..
            }
        ),
        "{settings:?}"
    );
}

/// Guards against a process that starts although our own files may fill its disk.
#[test]
fn disk_too_small() {
    let folder = max_folder_bytes();
    let fault = parse_core("disk = 32MB").unwrap_err();
    let has_figures =
        fault.contains(&folder.to_string()) && fault.contains(&Bytes(32_000_000).to_string());
    assert!(has_figures && fault.contains("disk"), "{fault}");
    assert!(parse_core(&format!("disk = {}B", folder.0 - 1)).is_err());
    let tight = parse_core(&format!("disk = {}B", folder.0)).unwrap();
    let warning = tight.warning().unwrap();
    assert!(warning.contains(&folder.to_string()), "{warning}");
    let half = parse_core(&format!("disk = {}B", folder.0 * 2)).unwrap();
    assert_eq!(half.warning(), None);
    assert!(parse_core("disk = 128.5MB").is_ok());
    assert!(parse_core("disk = some").unwrap_err().contains("some"));
}

/// Guards against a process that doesn't start where the size of its disk is not known.
#[test]
fn disk_not_stated() {
    for disk in ["", "disk = 0MB", "disk = 0"] {
        let settings = parse_core(disk).unwrap();
        assert!(matches!(settings.service, Service::Core { disk: None, .. }));
        assert_eq!(settings.warning(), None);
    }
}

/// Guards against terms of quotas that are misread, and against settings without them that are refused.
#[test]
fn parse_quota_terms() {
    let terms = |text: &str| {
        let settings = Settings::parse("core.ini", &format!("{CORE}{text}")).unwrap();
        settings.bounds.quota_terms
    };
    assert_eq!(terms(""), Terms::default());
    let stated = terms("quota-window = 4s\nquota-overage = 0.2\nquota-slack = 7400\n");
    let window = Duration::from_secs(4);
    let expected = Terms {
        window,
        overage: 0.2,
        slack: 7400.0,
    };
    assert_eq!(stated, expected);
    let faults = Settings::parse("core.ini", &format!("{CORE}quota-overage = much\n"));
    assert!(faults.unwrap_err()[0].to_string().contains("quota-overage"));
}
