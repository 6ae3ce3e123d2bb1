//! JSON-line logs through `simplelog` (design 1.6).

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Target of all log lines of the product.
pub const TARGET: &str = "foldshunt";

/// Sends log lines to standard error; only lines written by `log_event!` pass.
pub fn start(node: &str, level: &str) {
    let _ = NODE.set(node.to_string());
    let lvl = level.parse().unwrap_or(LevelFilter::Info);
    let cfg = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(TARGET)
        .build();
    let _ = WriteLogger::init(lvl, cfg, std::io::stderr());
}

static NODE: std::sync::OnceLock<String> = std::sync::OnceLock::new();

/// Name of this node, as set by [`start`].
pub fn node() -> &'static str {
    NODE.get().map(String::as_str).unwrap_or("-")
}

/// One JSON line: `log_event!(Info, "step", "field" => value, ...)`.
#[macro_export]
macro_rules! log_event {
    ($lvl:ident, $step:expr $(, $k:literal => $v:expr)* $(,)?) => {
        if $crate::logging::log::log_enabled!(target: $crate::logging::TARGET, $crate::logging::log::Level::$lvl) {
            let line = $crate::logging::json!({
                "ts": $crate::clock::wall_ms(),
                "level": stringify!($lvl),
                "node": $crate::logging::node(),
                "step": $step,
                $($k: $crate::logging::json!($v),)*
            });
            $crate::logging::log::log!(target: $crate::logging::TARGET, $crate::logging::log::Level::$lvl, "{line}");
        }
    };
}

#[doc(hidden)]
pub use log;
#[doc(hidden)]
pub use serde_json::json;
