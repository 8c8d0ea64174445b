//! `supply`: shows the host plan of each managed service whose lease a daemon holds, with the
//! reason and the cost.

use dogwoodturn::supply::status::ServiceStatus;
use eyre::Result;
use gumdrop::Options;

use crate::{operator, output::Outcome};

/// The arguments of `supply`.
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

pub fn run(args: &Args) -> Result<Outcome> {
    let services = actix_rt::System::new().block_on(read(args))?;
    if args.json {
        println!("{}", serde_json::to_string(&services)?);
        return Ok(Outcome::Success);
    }
    if services.is_empty() {
        println!("this daemon holds no lease of a managed service");
    }
    services.iter().for_each(print);
    Ok(Outcome::Success)
}

fn print(service: &ServiceStatus) {
    let reason = service.reason.map(|reason| serde_json::json!(reason).to_string());
    println!(
        "{} demand={} forecast={} assured={} cost={}/h reason={}{}",
        service.service,
        service.demand,
        service.forecast,
        service.assured,
        service.cost,
        reason.as_deref().map_or("none", |reason| reason.trim_matches('"')),
        if service.paused { " paused" } else { "" }
    );
    for lease in &service.leases {
        let holder = lease.holder.as_ref().map_or("none", |holder| holder.as_str());
        let fencing = lease.fencing.map_or("none".into(), |fencing| fencing.to_string());
        println!("  lease zone={} holder={holder} fencing={fencing}", lease.zone);
    }
    for pool in &service.pools {
        let present = pool.present.map_or("unknown".into(), |count| count.to_string());
        println!(
            "  {} {} {:?} wanted={} present={present} price={}/h capacity={}{}",
            pool.zone,
            pool.class,
            pool.kind,
            pool.wanted,
            pool.price,
            pool.capacity,
            if pool.refused { " refused" } else { "" }
        );
    }
}

async fn read(args: &Args) -> Result<Vec<ServiceStatus>> {
    operator::read(&args.daemon, "/supply", &args.token).await
}
