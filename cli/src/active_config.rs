//! Reads the active configuration from the platform.

use std::time::Duration;

use dogwoodturn::{
    declaration::{
        DeclarationSet, delta,
        findings::ServedVersions,
        wire::{self, HEAD_KEY, HeadWire, SetDigest},
    },
    ids::Revision,
    store::{ObjectKey, Operation, Reply, http::HttpPlatform},
    upstream::HostState,
};
use eyre::{Result, bail};

/// Returns the head and the active set of declarations, or `None` if nothing has been published.
pub async fn read(platform: &HttpPlatform) -> Result<Option<(HeadWire, DeclarationSet)>> {
    let Some(value) = get(platform, HEAD_KEY).await? else { return Ok(None) };
    let head: HeadWire = wire::decode(&value)?;
    let mut encoded = Vec::new();
    for part in 0..head.base.parts {
        let key = wire::part_key(&head.base, part);
        let Some(value) = get(platform, &key).await? else {
            bail!("{key} no longer exists; another change was published meanwhile, try again");
        };
        encoded.extend_from_slice(&value);
    }
    let base = wire::decode_set(&encoded)?;
    let (set, _) = delta::apply_all(&head.deltas, &base, SetDigest::of(&encoded))?;
    Ok(Some((head, set)))
}

/// Returns the versions that live upstreams serve, by the host list of all data centres.
pub async fn read_served_versions(platform: &HttpPlatform) -> Result<ServedVersions> {
    let operation =
        Operation::Hosts { data_centre: None, after: Revision(0), wait: Duration::ZERO };
    let Reply::Hosts { hosts, .. } = platform.call(&operation).await? else {
        bail!("the platform returned an unexpected reply to a read of the host list");
    };
    let live = hosts.into_iter().filter(|host| host.state == HostState::Live);
    Ok(live.map(|host| (host.service, host.version)).collect())
}

async fn get(platform: &HttpPlatform, key: &str) -> Result<Option<bytes::Bytes>> {
    match platform.call(&Operation::Get(ObjectKey::new(key))).await? {
        Reply::Object(object) => Ok(object.map(|object| object.value)),
        _ => bail!("the platform returned an unexpected reply to a read"),
    }
}
