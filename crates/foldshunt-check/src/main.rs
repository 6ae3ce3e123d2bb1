//! `foldshunt-check`: taps a document against the live fleet and changes nothing (design 4.9).

use bpaf::Bpaf;
use common::{error::print, http::send_request_to_any};
use eyre::{Result, WrapErr, bail};
use foldshunt_check::{Finding, Status, exit_code, tap};
use hyper::Method;
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Checks a document against the fleet as it is, and changes nothing.
///
/// Exit codes: 0 well, 1 the check could not be made, 2 faults, 3 warnings only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    /// HTTP address of a control node; may be given for each of them, they are tried in turn
    #[bpaf(long("core"), argument("IP:PORT"))]
    core: Vec<SocketAddr>,
    /// Prints the findings as JSON
    json: bool,
    /// Document (TOML); the newest accepted one when left out
    #[bpaf(positional("FILE"))]
    file: Option<PathBuf>,
}

async fn get(core: &[SocketAddr], path: &str) -> Result<(u16, String)> {
    let (code, _, b) = send_request_to_any(core, Method::GET, path, &[], Default::default(), 5_000).await?;
    Ok((code.as_u16(), String::from_utf8_lossy(&b).into_owned()))
}

async fn status(core: &[SocketAddr]) -> Result<Status> {
    serde_json::from_str(&get(core, "/v1/status").await?.1).wrap_err("status")
}

async fn check(o: &Opts) -> Result<Vec<Finding>> {
    let src = match &o.file {
        Some(f) => std::fs::read_to_string(f).wrap_err_with(|| format!("{f:?}"))?,
        None => match get(&o.core, "/v1/timetable").await? {
            (200, s) => s,
            (code, s) => bail!("newest document: {code} {s}"),
        },
    };
    // The leader knows what governs where; the others only know who it is.
    let mut st = status(&o.core).await?;
    let lead = st.voters.iter().find(|h| Some(&h.node) == st.leader.as_ref());
    if let Some(at) = lead.and_then(|h| h.http) {
        st = status(&[at]).await.wrap_err("the leader")?;
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
