//! Logs as lines of JSON, written by `simplelog` (design 1.6).

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Target (in the sense of the `log` crate) of all log lines of the product.
pub const TARGET: &str = "foldshunt";

/// Starts logging to standard error. Only lines written by `log_event!` are shown, not those of dependencies.
pub fn start(node: &str, level: &str) {
    let _ = NODE.set(node.to_string());
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(TARGET)
        .build();
    let _ = WriteLogger::init(level, config, std::io::stderr());
}

static NODE: std::sync::OnceLock<String> = std::sync::OnceLock::new();

/// Name of this node as given to [`start`]; `-` before that.
pub fn node() -> &'static str {
    NODE.get().map(String::as_str).unwrap_or("-")
}

/// Logs one event as a line of JSON: `log_event!(Info, "step", "field" => value, ...)`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $step:expr $(, $key:literal => $value:expr)* $(,)?) => {
        if $crate::logging::log::log_enabled!(target: $crate::logging::TARGET, $crate::logging::log::Level::$level) {
            let line = $crate::logging::json!({
                "ts": $crate::clock::wall_ms(),
                "level": stringify!($level),
                "node": $crate::logging::node(),
                "step": $step,
                $($key: $crate::logging::json!($value),)*
            });
            $crate::logging::log::log!(target: $crate::logging::TARGET, $crate::logging::log::Level::$level, "{line}");
        }
    };
}

#[doc(hidden)]
pub use log;
#[doc(hidden)]
pub use serde_json::json;
