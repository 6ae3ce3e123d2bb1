//! `wheeltapper`: taps a document against the live fleet and changes nothing (design 4.9).

use bpaf::Bpaf;
use eyre::{Result, WrapErr, bail, ensure};
use gauge::{fault::print, http::ask};
use hyper::Method;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::ExitCode,
};
use wheeltapper::{Finding, Status, exit_code, tap};

/// Checks a document against the fleet as it is, and changes nothing.
///
/// Exit codes: 0 well, 1 the check could not be made, 2 faults, 3 warnings only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    /// HTTP address of a signalbox; may be given for each of them, they are tried in turn
    #[bpaf(long("core"), argument("IP:PORT"))]
    core: Vec<SocketAddr>,
    /// Prints the findings as JSON
    json: bool,
    /// Document (TOML); the newest accepted one when left out
    #[bpaf(positional("FILE"))]
    file: Option<PathBuf>,
}

async fn get(core: &[SocketAddr], path: &str) -> Result<(u16, String)> {
    let ip = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
    let mut last = String::new();
    for to in core {
        match ask(ip, *to, Method::GET, path, &[], "", 5_000).await {
            Ok((code, _, b)) if code.as_u16() != 503 => {
                return Ok((code.as_u16(), String::from_utf8_lossy(&b).into_owned()));
            }
            Ok((_, _, b)) => last = format!("{to}: {}", String::from_utf8_lossy(&b)),
            Err(e) => last = e.to_string(),
        }
    }
    bail!("no signalbox could answer; last: {last}")
}

async fn check(o: &Opts) -> Result<Vec<Finding>> {
    ensure!(
        !o.core.is_empty(),
        "--core: missing; allowed: the HTTP address of a signalbox, up to three times"
    );
    let src = match &o.file {
        Some(f) => std::fs::read_to_string(f).wrap_err_with(|| format!("{f:?}"))?,
        None => match get(&o.core, "/v1/configuration").await? {
            (200, s) => s,
            (code, s) => bail!("newest document: {code} {s}"),
        },
    };
    // The leader knows what governs where; the others only know who it is.
    let (_, s) = get(&o.core, "/v1/status").await?;
    let mut st: Status = serde_json::from_str(&s).wrap_err("status")?;
    let v: serde_json::Value = serde_json::from_str(&s).wrap_err("status")?;
    let lead = v["roster"].as_array().into_iter().flatten().find(|h| h["node"] == v["leader"]);
    if let Some(at) = lead.and_then(|h| h["http"].as_str()).and_then(|a| a.parse().ok()) {
        let (_, s) = get(&[at], "/v1/status").await?;
        st = serde_json::from_str(&s).wrap_err("the leader's status")?;
    }
    Ok(tap(&src, &st))
}

fn show(o: &Opts, f: &[Finding]) {
    if o.json {
        print(&format!("{}\n", serde_json::json!({"exit": exit_code(f), "findings": f})));
        return;
    }
    for x in f {
        let at = x.line.zip(x.column).map(|(l, c)| format!("{l}:{c}: ")).unwrap_or_default();
        print(&format!("{:?} ({}): {at}{}\n", x.weight, x.check, x.message));
    }
    if f.is_empty() {
        print("well\n");
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let o = opts().run();
    match check(&o).await {
        Ok(f) => {
            show(&o, &f);
            ExitCode::from(exit_code(&f))
        }
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
