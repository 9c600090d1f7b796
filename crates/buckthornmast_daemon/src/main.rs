//! Daemon of buckthornmast, one on each instance.

use std::{fs, process::ExitCode};

use buckthornmast_config::daemon::Settings;
use buckthornmast_daemon::{descriptors, flags::Daemon, node};
use buckthornmast_logging as logging;
use signal_hook::{consts, iterator::Signals};

fn read(flags: &Daemon) -> Result<Settings, ExitCode> {
    let file = flags.config.display().to_string();
    let text = fs::read_to_string(&flags.config).map_err(|error| {
        eprintln!("{file}: reading the settings failed: {error}");
        ExitCode::FAILURE
    })?;
    let settings = Settings::parse(&file, &text).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        ExitCode::FAILURE
    })?;
    let shares = descriptors::limit().and_then(|limit| descriptors::share(limit, &settings.limits));
    shares.map_err(|error| {
        eprintln!("{file}: {error}");
        ExitCode::FAILURE
    })?;
    Ok(settings)
}

fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    // Registered before the start, so that an early signal is not lost.
    let mut signals = Signals::new([consts::SIGTERM, consts::SIGINT])?;
    let node = node::start(settings)?;
    signals.forever().next();
    log::info!(step = "stop"; "stopping the daemon after a signal");
    node.stop();
    log::info!(step = "stop"; "daemon stopped");
    Ok(())
}

fn main() -> ExitCode {
    let flags = match Daemon::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let settings = match read(&flags) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if flags.check {
        println!("{}: no faults", flags.config.display());
        return ExitCode::SUCCESS;
    }
    logging::start();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(step = "start"; "starting the daemon failed: {error}");
            eprintln!("buckthornmastd: starting the daemon failed: {error}");
            ExitCode::FAILURE
        }
    }
}
