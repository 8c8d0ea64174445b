//! `publish`: checks the set and publishes it by one conditional update.

use std::time::{SystemTime, UNIX_EPOCH};

use dogwoodturn::{
    audit::wire::record_publication,
    declaration::{
        check,
        publish::{Publication, Step},
        wire::HeadWire,
    },
    ids::{ChangeId, Generation},
    platform::{CallError, http::HttpPlatform},
    units::WallTime,
};
use eyre::{Result, WrapErr as _};
use gumdrop::Options;

use crate::{command::check::print_faults, files, output::Verdict};

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
    #[options(free, help = "files or directories with declarations")]
    paths: Vec<String>,
}

/// Runs `publish`.
pub fn run(args: Args) -> Result<Verdict> {
    let sources = files::read(&args.paths)?;
    let set = match check::check(&sources) {
        Ok(checked) => checked.set,
        Err(faults) => {
            print_faults(&faults, false);
            return Ok(Verdict::Bad);
        }
    };
    let at = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let at = WallTime(at.try_into()?);
    let change: ChangeId = args.change.parse()?;
    let author = args.author.into();
    let (mut publication, mut operation) =
        Publication::begin(&set, change, author, at, args.expect);
    let head = actix_rt::System::new().block_on(async {
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
    });
    let head = head.wrap_err("the set was not published")?;
    println!(
        "published generation={} change={} digest={}",
        head.generation, head.change, head.digest
    );
    Ok(Verdict::Good)
}

/// Records the publication in the audit trail; a repeated one is recorded once.
async fn record(platform: &HttpPlatform, head: &HeadWire) {
    match platform.call(&record_publication(head)).await {
        Ok(_) | Err(CallError::Conflict(_)) => {}
        Err(error) => eprintln!("warning: the audit trail has no record of this change: {error}"),
    }
}
