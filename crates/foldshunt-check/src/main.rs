//! `foldshunt-check`: checks a document against the running fleet and changes nothing (design 4.9).

use bpaf::Bpaf;
use common::{error::print, http::send_request_to_any};
use eyre::{Result, WrapErr, bail};
use foldshunt_check::{Finding, Status, check_document, exit_code};
use hyper::Method;
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Checks a document against the running fleet, and changes nothing.
///
/// Exit codes: 0 no errors or warnings, 1 the check could not be made, 2 errors, 3 warnings only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Opts {
    /// HTTP address of a control node; may be given several times, and the nodes are tried in turn
    #[bpaf(long("core"), argument("IP:PORT"))]
    control_nodes: Vec<SocketAddr>,
    /// Prints the findings as JSON
    json: bool,
    /// Document (TOML); the newest accepted one when left out
    #[bpaf(positional("FILE"))]
    file: Option<PathBuf>,
}

async fn get(control_nodes: &[SocketAddr], path: &str) -> Result<(u16, String)> {
    let (code, _, body) =
        send_request_to_any(control_nodes, Method::GET, path, &[], Default::default(), 5_000).await?;
    Ok((code.as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

async fn read_status(control_nodes: &[SocketAddr]) -> Result<Status> {
    serde_json::from_str(&get(control_nodes, "/v1/status").await?.1).wrap_err("status of the cluster")
}

async fn check(options: &Opts) -> Result<Vec<Finding>> {
    let source = match &options.file {
        Some(file) => std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {file:?}"))?,
        None => match get(&options.control_nodes, "/v1/timetable").await? {
            (200, text) => text,
            (code, text) => bail!("cannot read the newest document: {code} {text}"),
        },
    };
    // Only the leader knows which document each node uses; the others know who the leader is.
    let mut status = read_status(&options.control_nodes).await?;
    let leader = status.voters.iter().find(|voter| Some(&voter.node) == status.leader.as_ref());
    if let Some(address) = leader.and_then(|voter| voter.http) {
        status = read_status(&[address]).await.wrap_err("status of the leader")?;
    }
    Ok(check_document(&source, &status))
}

fn show(options: &Opts, findings: &[Finding]) {
    if options.json {
        print(&format!("{}\n", serde_json::json!({"exit": exit_code(findings), "findings": findings})));
        return;
    }
    for finding in findings {
        let position =
            finding.line.zip(finding.column).map(|(line, c)| format!("{line}:{c}: ")).unwrap_or_default();
        print(&format!("{:?} ({}): {position}{}\n", finding.severity, finding.check, finding.message));
    }
    if findings.is_empty() {
        print("well\n");
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = opts().run();
    match check(&options).await {
        Ok(findings) => {
            show(&options, &findings);
            ExitCode::from(exit_code(&findings))
        }
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
