//! Finds and reads declaration files.

use std::{fs, path::Path};

use dogwoodturn::ini::Source;
use eyre::{Result, WrapErr as _, bail};

/// Reads the given files, and all `*.ini` files of the given directories sorted by name.
pub fn read(paths: &[String]) -> Result<Vec<Source>> {
    if paths.is_empty() {
        bail!("pass files or directories with declarations");
    }
    let mut sources = Vec::new();
    for path in paths {
        let path = Path::new(path);
        if !path.is_dir() {
            sources.push(read_file(path)?);
            continue;
        }
        let entries =
            fs::read_dir(path).wrap_err_with(|| format!("cannot list {}", path.display()))?;
        let mut files = Vec::new();
        for entry in entries {
            files.push(entry?.path());
        }
        files.retain(|file| file.extension().is_some_and(|extension| extension == "ini"));
        files.sort();
        for file in files {
            sources.push(read_file(&file)?);
        }
    }
    Ok(sources)
}

/// Reads like [`read`]; a directory without `*.ini` files is an error instead of an empty set.
pub fn read_all(paths: &[String]) -> Result<Vec<Source>> {
    if paths.is_empty() {
        return read(paths);
    }
    let mut sources = Vec::new();
    for path in paths {
        let found = read(std::slice::from_ref(path))?;
        if found.is_empty() {
            bail!("no *.ini files in {path}");
        }
        sources.extend(found);
    }
    Ok(sources)
}

fn read_file(path: &Path) -> Result<Source> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
    Ok(Source { file: path.display().to_string().into(), text: text.into() })
}
