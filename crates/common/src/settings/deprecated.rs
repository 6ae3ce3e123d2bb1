//! Deprecated names of settings, which are still accepted with a warning that gives the current name.

use super::{Flags, environment};
use crate::log_event;
use figment::{
    Figment, Metadata, Profile, Provider,
    providers::{Format, Toml},
    value::{Dict, Map, Value},
};

/// Deprecated names, each with the current name.
pub const DEPRECATED: [(&str, &str); 8] = [
    ("area", "zone"),
    ("rail", "rpc"),
    ("rail_advertise", "rpc_advertise"),
    ("founds", "bootstrap"),
    ("timing.tenure_ms", "timing.lease_ms"),
    ("timing.check_ms", "timing.probe_interval_ms"),
    ("timing.check_fails", "timing.probe_failures"),
    ("timing.rail_ms", "timing.rpc_timeout_ms"),
];

/// A source of settings in which deprecated names are replaced by the current ones.
pub(super) struct Renamed<P>(pub(super) P);

impl<P: Provider> Provider for Renamed<P> {
    fn metadata(&self) -> Metadata {
        self.0.metadata()
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let mut data = self.0.data()?;
        for settings in data.values_mut() {
            for (old, new) in DEPRECATED {
                rename(settings, old, new);
            }
        }
        Ok(data)
    }
}

/// Moves the value of a dotted name to another name under the same parent. A value that the new name already has wins.
fn rename(settings: &mut Dict, old: &str, new: &str) {
    match (old.split_once('.'), new.split_once('.')) {
        (Some((parent, old)), Some((_, new))) => {
            if let Some(Value::Dict(_, inner)) = settings.get_mut(parent) {
                rename(inner, old, new);
            }
        }
        _ => {
            if let Some(value) = settings.remove(old) {
                settings.entry(new.into()).or_insert(value);
            }
        }
    }
}

/// The deprecated names that the settings file, the environment or the arguments use, each with the current name.
pub fn deprecated_names(flags: &Flags, arguments: &[String]) -> Vec<(&'static str, &'static str)> {
    let file = flags.config.iter().fold(Figment::new(), |layers, path| layers.merge(Toml::file_exact(path)));
    let given = file.merge(environment());
    let used = |old: &str| {
        let flag = format!("--{old}");
        given.contains(old)
            || arguments.iter().any(|argument| *argument == flag || argument.starts_with(&format!("{flag}=")))
    };
    DEPRECATED.into_iter().filter(|(old, _)| used(old)).collect()
}

/// Logs a warning for each deprecated name in use.
pub fn warn_deprecated(flags: &Flags) {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    for (old, new) in deprecated_names(flags, &arguments) {
        log_event!(Warn, "deprecated setting", "name" => old, "use" => new);
    }
}
