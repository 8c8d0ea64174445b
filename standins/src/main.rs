//! Runs one stand-in as a process.

use std::net::SocketAddr;

use dogwoodturn_standins::{
    engine::{Engine, model::EngineConfig},
    plain::Plain,
    platform::Platform,
};
use eyre::{Result, bail};
use gumdrop::Options;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", default = "127.0.0.1:0")]
    listen: String,
    #[options(free, help = "platform, engine or plain")]
    role: Vec<String>,
}

fn main() -> Result<()> {
    let args = Args::parse_args_default_or_exit();
    let listen: SocketAddr = args.listen.parse()?;
    let running = match args.role.as_slice() {
        [role] if role == "platform" => Platform::new().start(listen)?,
        [role] if role == "engine" => Engine::new(EngineConfig::default()).start(listen)?,
        [role] if role == "plain" => Plain::new().start(listen)?,
        _ => bail!("name one role: platform, engine or plain"),
    };
    println!("listening={}", running.address());
    running.join();
    Ok(())
}
