//! A simulated operator: calls of the operators' API, sent to any of the voters.

use bytes::Bytes;
use common::http::send_request;
use hyper::Method;
use std::net::{IpAddr, SocketAddr};

/// An operator of a cluster.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The address that its calls come from.
    pub ip: IpAddr,
    /// HTTP addresses of the control nodes, in the order of asking.
    pub voters: Vec<SocketAddr>,
}

impl Operator {
    /// Asks the voters in turn until one answers with anything but 503.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<(u16, Bytes)> {
        for voter in &self.voters {
            let result =
                send_request(self.ip, *voter, method.clone(), path, headers, body.to_string(), 8_000).await;
            if let Ok((code, _, answer)) = result
                && code.as_u16() != 503
            {
                return Some((code.as_u16(), answer));
            }
        }
        None
    }

    /// Adds a replica to the list.
    pub async fn list(&self, id: &str, service: &str, zone: &str, addr: SocketAddr) -> bool {
        let body = serde_json::json!({"id": id, "service": service, "area": zone, "addr": addr}).to_string();
        matches!(self.ask(Method::POST, "/v1/replicas", &[], &body).await, Some((200, _)))
    }

    /// Applies a document on a base revision; `op` is the operation id.
    pub async fn apply(&self, text: &str, base: u64, op: &str) -> Option<(u16, serde_json::Value)> {
        let base = base.to_string();
        let headers = [("if-match", base.as_str()), ("foldshunt-op", op)];
        let (code, answer) = self.ask(Method::PUT, "/v1/timetable", &headers, text).await?;
        Some((code, serde_json::from_slice(&answer).unwrap_or_default()))
    }

    /// The newest accepted document.
    pub async fn document(&self) -> Option<String> {
        let (code, answer) = self.ask(Method::GET, "/v1/timetable", &[], "").await?;
        (code == 200).then(|| String::from_utf8_lossy(&answer).into_owned())
    }

    /// The newest accepted document with its revision.
    pub async fn document_and_revision(&self) -> Option<(String, u64)> {
        for voter in &self.voters {
            let result = send_request(self.ip, *voter, Method::GET, "/v1/timetable", &[], "", 8_000).await;
            if let Ok((code, head, answer)) = result
                && code.as_u16() == 200
            {
                let revision = head.get("etag")?.to_str().ok()?.trim_matches('"').parse().ok()?;
                return Some((String::from_utf8_lossy(&answer).into_owned(), revision));
            }
        }
        None
    }

    /// Another operator, which asks the voters in another order.
    pub fn with_rotated_voters(&self) -> Operator {
        let mut voters = self.voters.clone();
        voters.rotate_left(1);
        Operator { ip: self.ip, voters }
    }

    /// Removes a replica from the list.
    pub async fn remove(&self, id: &str) -> bool {
        let path = format!("/v1/replicas/{id}");
        matches!(self.ask(Method::DELETE, &path, &[], "").await, Some((200, _)))
    }

    /// Drains a replica.
    pub async fn drain(&self, id: &str) -> bool {
        let path = format!("/v1/replicas/{id}/drain");
        matches!(self.ask(Method::POST, &path, &[], "").await, Some((200, _)))
    }

    /// The status that a control node reports.
    pub async fn status(&self) -> Option<serde_json::Value> {
        let (code, answer) = self.ask(Method::GET, "/v1/status", &[], "").await?;
        (code == 200).then(|| serde_json::from_slice(&answer).ok()).flatten()
    }

    /// Evacuates a zone, or ends its evacuation.
    pub async fn evacuate(&self, zone: &str, on: bool) -> bool {
        let body = serde_json::json!({"area": zone}).to_string();
        let path = format!("/v1/evacuations/{zone}");
        let result = if on {
            self.ask(Method::POST, "/v1/evacuations", &[], &body).await
        } else {
            self.ask(Method::DELETE, &path, &[], "").await
        };
        matches!(result, Some((200, _)))
    }
}

impl Operator {
    /// Applies a document at the leader, and waits until all nodes confirm that they use it.
    pub async fn apply_waiting(&self, text: &str, base: u64, op: &str) -> Option<(u16, serde_json::Value)> {
        let leader = self.status().await.and_then(|status| {
            let name = status["leader"].as_str()?.to_string();
            let voters = status["roster"].as_array()?.clone();
            voters.iter().find(|v| v["node"] == name.as_str())?["http"].as_str()?.parse().ok()
        });
        let voters = leader.into_iter().chain(self.voters.iter().copied()).collect();
        let first = Operator { voters, ..self.clone() };
        let base = base.to_string();
        let headers = [("if-match", base.as_str()), ("foldshunt-op", op)];
        let (code, answer) = first.ask(Method::PUT, "/v1/timetable?wait_ms=5000", &headers, text).await?;
        Some((code, serde_json::from_slice(&answer).unwrap_or_default()))
    }
}
