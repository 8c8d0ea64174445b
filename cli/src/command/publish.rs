//! `publish`: checks a set of declarations and publishes it by one conditional update.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dogwoodturn::{
    audit::wire::record_publication,
    declaration::{
        check::{self, ValidatedSet},
        publish::{Publication, PublishError, Step},
        wire::HeadWire,
    },
    ids::{ChangeId, Generation},
    store::{CallError, http::HttpPlatform},
    units::WallTime,
};
use eyre::{Result, WrapErr as _, bail};
use gumdrop::Options;

use crate::{
    command::{check::print_errors, status},
    files,
    output::Outcome,
};

/// How often `--wait` reads the status of the daemon.
const WAIT_POLL: Duration = Duration::from_millis(200);
/// The time limit of `--wait` if `--wait-for` is not given.
const DEFAULT_WAIT: Duration = Duration::from_mins(1);

/// The arguments of `publish`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the base of the platform's URLs", no_short)]
    platform: String,
    #[options(required, help = "a name for this change; repeat it to repeat the call", no_short)]
    change: String,
    #[options(required, help = "who publishes", no_short)]
    author: String,
    #[options(help = "refuse unless this generation is in force", no_short)]
    expect: Option<Generation>,
    #[options(help = "publish above this generation, after the platform was restored", no_short)]
    above: Option<Generation>,
    #[options(help = "wait until each live daemon holds the generation", no_short)]
    wait: bool,
    #[options(help = "how long to wait, in seconds", no_short)]
    wait_for: Option<u64>,
    #[options(help = "with --wait: the base of a daemon's operators' URLs", no_short)]
    daemon: Option<String>,
    #[options(help = "with --wait: the operators' token", no_short)]
    token: Option<String>,
    #[options(free, help = "files or directories with declarations")]
    paths: Vec<String>,
}

pub fn run(args: Args) -> Result<Outcome> {
    if args.wait && (args.daemon.is_none() || args.token.is_none()) {
        bail!("--wait needs --daemon and --token");
    }
    let sources = files::read(&args.paths)?;
    let checked = match check::check(&sources) {
        Ok(checked) => checked,
        Err(faults) => {
            print_errors(&faults, false);
            return Ok(Outcome::Failure);
        }
    };
    let change: ChangeId = args.change.parse()?;
    let head = match publish(&args, &checked, &change)? {
        Ok(head) => head,
        Err(PublishError::Refused(violations)) => {
            print_errors(&checked.errors(&violations), false);
            return Ok(Outcome::Failure);
        }
        Err(PublishError::Conflict { theirs, author, generation, their_objects, our_objects }) => {
            println!("conflict: change {theirs} by {author} is generation {generation}");
            print_objects("theirs", &their_objects);
            print_objects("ours", &our_objects);
            println!("read it with diff, then publish again with --expect {generation}");
            return Ok(Outcome::Failure);
        }
        Err(error) => return Err(error).wrap_err("the set was not published"),
    };
    let generation = head.generation_of(&change).unwrap_or(head.generation);
    println!("published generation={generation} change={change} digest={}", head.digest);
    match (args.wait, args.daemon, args.token) {
        (true, Some(daemon), Some(token)) => {
            let timeout = args.wait_for.map_or(DEFAULT_WAIT, Duration::from_secs);
            actix_rt::System::new().block_on(wait(&daemon, &token, generation, timeout))
        }
        _ => Ok(Outcome::Success),
    }
}

fn publish(
    args: &Args,
    checked: &ValidatedSet,
    change: &ChangeId,
) -> Result<Result<HeadWire, PublishError>> {
    let at = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let at = WallTime(at.try_into()?);
    let author = args.author.as_str().into();
    let (publication, mut operation) =
        Publication::begin(&checked.set, change.clone(), author, at, args.expect);
    let mut publication = publication.above(args.above.unwrap_or_default());
    Ok(actix_rt::System::new().block_on(async {
        let platform = HttpPlatform::new(&args.platform);
        loop {
            let result = platform.call(&operation).await;
            match publication.handle(result) {
                Step::Call(next) => operation = next,
                Step::Done(done) => {
                    if let Ok(head) = &done {
                        record(&platform, head).await;
                    }
                    return done;
                }
            }
        }
    }))
}

fn print_objects(side: &str, objects: &[Box<str>]) {
    for object in objects {
        println!("  {side}: {object}");
    }
}

/// Waits until the daemon reports that each live daemon has the generation.
async fn wait(
    daemon: &str,
    token: &str,
    generation: Generation,
    timeout: Duration,
) -> Result<Outcome> {
    let start = Instant::now();
    loop {
        let status = status::read(daemon, token).await?;
        let number = |name: &str| status[name].as_u64().unwrap_or(0);
        let (here, everywhere) = (number("generation"), number("everywhere"));
        let members = status["members"].as_array().map_or(0, Vec::len);
        if everywhere >= generation.0 {
            let elapsed_s = start.elapsed().as_secs_f64();
            println!("in force at {members} live daemons after {elapsed_s:.1} s");
            return Ok(Outcome::Success);
        }
        if start.elapsed() >= timeout {
            println!(
                "not yet in force everywhere: {here} here, {everywhere} at each of {members} daemons"
            );
            return Ok(Outcome::Failure);
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}

/// Records the publication in the audit trail. A repeated publication is recorded only once; a
/// failure prints a warning, as the set is already published.
async fn record(platform: &HttpPlatform, head: &HeadWire) {
    match platform.call(&record_publication(head)).await {
        Ok(_) | Err(CallError::Conflict(_)) => {}
        Err(error) => eprintln!("warning: the audit trail has no record of this change: {error}"),
    }
}
