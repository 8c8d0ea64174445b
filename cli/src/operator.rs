//! Requests to the operators' listener of a daemon.

use eyre::{Result, WrapErr as _, bail, eyre};
use serde::de::DeserializeOwned;

/// Gets a path with the operators' token and decodes the JSON of the response.
pub async fn read<T: DeserializeOwned>(daemon: &str, path: &str, token: &str) -> Result<T> {
    let url = format!("{daemon}{path}");
    let req = awc::Client::default().get(&url).bearer_auth(token);
    let sent = req.send().await.map_err(|error| eyre!("{error}"));
    let mut res = sent.wrap_err_with(|| format!("cannot read {url}"))?;
    if !res.status().is_success() {
        bail!("{url} answered {}; check the token", res.status());
    }
    res.json().await.map_err(|error| eyre!("{error}"))
}
