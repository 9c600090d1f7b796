//! Stand-in model engine or plain service.

use std::process::ExitCode;

use buckthornmast_standin::{flags::Standin, serve};
use signal_hook::{consts, iterator::Signals};

fn run(flags: Standin) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = Signals::new([consts::SIGTERM, consts::SIGINT])?;
    let standin = serve::start(flags)?;
    println!("listening on {}", standin.address());
    signals.forever().next();
    standin.leave();
    standin.stop();
    Ok(())
}

fn main() -> ExitCode {
    env_logger::init();
    let flags = match Standin::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("buckthornmast-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
