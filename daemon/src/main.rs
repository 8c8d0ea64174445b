//! `dogwoodturnd`: reads the settings, runs the daemon, and drains it on SIGTERM.

use dogwoodturn::ini::Source;
use dogwoodturn_daemon::{Daemon, logs, settings::Settings};
use eyre::{Result, WrapErr as _, bail};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the settings, an INI file")]
    settings: String,
}

fn main() -> Result<()> {
    let args = Args::parse_args_default_or_exit();
    logs::init();
    let text = std::fs::read_to_string(&args.settings)
        .wrap_err_with(|| format!("cannot read the settings {}", args.settings))?;
    let source = Source { file: args.settings.into(), text: text.into() };
    let settings = match Settings::read(&source) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults {
                eprintln!("{fault}");
            }
            bail!("the settings have {} faults", faults.len());
        }
    };
    let daemon = Daemon::start(&settings)?;
    log::info!(
        event = "listening",
        callers:% = daemon.callers(),
        operators:% = daemon.operators(),
        peers:% = daemon.peers();
        ""
    );
    actix_rt::System::new().block_on(wait_for_signal())?;
    log::info!(event = "draining"; "");
    let finished = daemon.drain();
    log::info!(event = "stopped", finished; "");
    Ok(())
}

/// Waits for SIGTERM or SIGINT. By default SIGHUP would end the process with the requests in progress.
async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => {
                log::info!(event = "hangup"; "settings are read only when the daemon starts");
            }
        }
    }
}
