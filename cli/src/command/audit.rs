//! `audit`: reads the audit trail and filters its records.

use dogwoodturn::{
    audit::{self, Record, segment_time, trail, wire},
    declaration::wire::{HEAD_KEY, HeadWire, decode},
    store::{CallError, ObjectKey, Operation, Reply, http::HttpPlatform},
    units::WallTime,
};
use eyre::{Result, WrapErr as _, bail};
use gumdrop::Options;
use serde_json::json;

use crate::output::Outcome;

/// The arguments of `audit`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the base of the platform's URLs", no_short)]
    platform: String,
    #[options(help = "only changes from this time on, such as 2027-01-31T18:00:00Z", no_short)]
    since: Option<WallTime>,
    #[options(help = "only changes of objects whose names contain this", no_short)]
    object: Option<String>,
    #[options(help = "only changes by operators or rules whose names contain this", no_short)]
    who: Option<String>,
    #[options(help = "print one JSON object a line", no_short)]
    json: bool,
}

pub fn run(args: &Args) -> Result<Outcome> {
    let read = actix_rt::System::new().block_on(read(&args.platform, args.since));
    let mut records = read.wrap_err("the audit trail could not be read")?;
    records.retain(|record| matches_filters(args, record));
    records.sort_by(|a, b| (a.at, &a.daemon, a.number).cmp(&(b.at, &b.daemon, b.number)));
    for record in &records {
        println!("{}", if args.json { format_json(record) } else { format_line(record) });
    }
    Ok(Outcome::Success)
}

fn matches_filters(args: &Args, record: &Record) -> bool {
    let contains = |text: &str, part: &Option<String>| {
        part.as_ref().is_none_or(|part| text.contains(part.as_str()))
    };
    args.since.is_none_or(|since| record.at >= since)
        && contains(&record.event.object, &args.object)
        && contains(record.event.actor.name(), &args.who)
}

async fn read(platform: &str, since: Option<WallTime>) -> Result<Vec<Record>> {
    let platform = HttpPlatform::new(platform);
    let Reply::Listed(listed) = call(&platform, &Operation::List(audit::PREFIX.into())).await?
    else {
        bail!("the platform returned an unexpected reply to a list request");
    };
    let age = trail::Config::default().segment_age;
    let is_recent = |key: &ObjectKey| {
        let segment_start = segment_time(key.as_str());
        since.is_none_or(|since| {
            segment_start.is_none_or(|segment_start| segment_start + age >= since)
        })
    };
    let mut records = Vec::new();
    for (key, _) in listed.into_iter().filter(|(key, _)| is_recent(key)) {
        let reply = call(&platform, &Operation::Get(key.clone())).await?;
        if let Reply::Object(Some(object)) = reply {
            let segment = wire::decode(&object.value);
            records.extend(segment.wrap_err_with(|| format!("segment {key} is damaged"))?);
        }
    }
    add_latest_publication(&platform, &mut records).await?;
    Ok(records)
}

/// Adds the record of the active publication if the trail has none because the publisher failed
/// before it recorded the publication.
async fn add_latest_publication(platform: &HttpPlatform, records: &mut Vec<Record>) -> Result<()> {
    let reply = call(platform, &Operation::Get(ObjectKey::new(HEAD_KEY))).await?;
    let Reply::Object(Some(object)) = reply else { return Ok(()) };
    let head: HeadWire = decode(&object.value)?;
    let latest = wire::publication(&head);
    if !records.iter().any(|record| record.event == latest.event) {
        records.push(latest);
    }
    Ok(())
}

async fn call(platform: &HttpPlatform, operation: &Operation) -> Result<Reply, CallError> {
    platform.call(operation).await
}

fn format_line(record: &Record) -> String {
    let daemon = record.daemon.as_ref().map_or("-", |daemon| daemon.as_str());
    let event = &record.event;
    format!(
        "at={} who={} object={:?} action={} generation={} daemon={daemon} cause={:?}",
        record.at, event.actor, event.object, event.action, event.generation, event.cause
    )
}

fn format_json(record: &Record) -> String {
    let event = &record.event;
    json!({
        "at": record.at.to_string(),
        "who": event.actor.to_string(),
        "object": event.object,
        "action": event.action,
        "generation": event.generation,
        "daemon": record.daemon,
        "cause": event.cause,
    })
    .to_string()
}
