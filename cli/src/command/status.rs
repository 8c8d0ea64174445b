//! `status`: shows the status that a daemon reports.

use eyre::Result;
use gumdrop::Options;
use serde_json::Value;

use crate::{operator, output::Outcome};

/// The arguments of `status`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the base of the daemon's operators' URLs", no_short)]
    daemon: String,
    #[options(required, help = "the operators' token", no_short)]
    token: String,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

/// Returns a failure if the daemon does not report itself as ready.
pub fn run(args: &Args) -> Result<Outcome> {
    let status = actix_rt::System::new().block_on(read(&args.daemon, &args.token))?;
    if args.json {
        println!("{status}");
    } else if let Value::Object(members) = &status {
        for (name, value) in members {
            println!("{name}={value}");
        }
    }
    Ok(if status["ready"] == Value::Bool(true) { Outcome::Success } else { Outcome::Failure })
}

pub async fn read(daemon: &str, token: &str) -> Result<Value> {
    operator::read(daemon, "/status", token).await
}
