//! A stand-in operator: the calls of the operators' API, against any of the voters.

use bytes::Bytes;
use common::http::send_request;
use hyper::Method;
use std::net::{IpAddr, SocketAddr};

#[derive(Clone, Debug)]
pub struct Operator {
    pub ip: IpAddr,
    pub voters: Vec<SocketAddr>,
}

impl Operator {
    /// Asks the voters in turn until one gives a final answer.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<(u16, Bytes)> {
        for s in &self.voters {
            let res = send_request(self.ip, *s, method.clone(), path, headers, body.to_string(), 8_000).await;
            if let Ok((code, _, b)) = res
                && code.as_u16() != 503
            {
                return Some((code.as_u16(), b));
            }
        }
        None
    }

    pub async fn list(&self, id: &str, service: &str, zone: &str, addr: SocketAddr) -> bool {
        let body = serde_json::json!({"id": id, "service": service, "area": zone, "addr": addr}).to_string();
        matches!(self.ask(Method::POST, "/v1/replicas", &[], &body).await, Some((200, _)))
    }

    pub async fn apply(&self, text: &str, base: u64, op: &str) -> Option<(u16, serde_json::Value)> {
        let base = base.to_string();
        let headers = [("if-match", base.as_str()), ("foldshunt-op", op)];
        let (code, b) = self.ask(Method::PUT, "/v1/timetable", &headers, text).await?;
        Some((code, serde_json::from_slice(&b).unwrap_or_default()))
    }

    pub async fn shown(&self) -> Option<String> {
        let (code, b) = self.ask(Method::GET, "/v1/timetable", &[], "").await?;
        (code == 200).then(|| String::from_utf8_lossy(&b).into_owned())
    }

    /// The document with its revision.
    pub async fn shown_at(&self) -> Option<(String, u64)> {
        for s in &self.voters {
            let res = send_request(self.ip, *s, Method::GET, "/v1/timetable", &[], "", 8_000).await;
            if let Ok((code, head, b)) = res
                && code.as_u16() == 200
            {
                let rev = head.get("etag")?.to_str().ok()?.trim_matches('"').parse().ok()?;
                return Some((String::from_utf8_lossy(&b).into_owned(), rev));
            }
        }
        None
    }

    /// Another operator, who asks the voters in another order.
    pub fn turned(&self) -> Operator {
        let mut voters = self.voters.clone();
        voters.rotate_left(1);
        Operator { ip: self.ip, voters }
    }

    pub async fn remove(&self, id: &str) -> bool {
        let path = format!("/v1/replicas/{id}");
        matches!(self.ask(Method::DELETE, &path, &[], "").await, Some((200, _)))
    }

    pub async fn drain(&self, id: &str) -> bool {
        let path = format!("/v1/replicas/{id}/drain");
        matches!(self.ask(Method::POST, &path, &[], "").await, Some((200, _)))
    }

    pub async fn status(&self) -> Option<serde_json::Value> {
        let (code, b) = self.ask(Method::GET, "/v1/status", &[], "").await?;
        (code == 200).then(|| serde_json::from_slice(&b).ok()).flatten()
    }

    pub async fn evacuate(&self, zone: &str, on: bool) -> bool {
        let body = serde_json::json!({"area": zone}).to_string();
        let path = format!("/v1/evacuations/{zone}");
        let res = if on {
            self.ask(Method::POST, "/v1/evacuations", &[], &body).await
        } else {
            self.ask(Method::DELETE, &path, &[], "").await
        };
        matches!(res, Some((200, _)))
    }
}

impl Operator {
    /// Applies at the leader, and waits until all nodes say that the document governs.
    pub async fn apply_waiting(&self, text: &str, base: u64, op: &str) -> Option<(u16, serde_json::Value)> {
        let leader = self.status().await.and_then(|s| {
            let name = s["leader"].as_str()?.to_string();
            let voters = s["roster"].as_array()?.clone();
            voters.iter().find(|h| h["node"] == name.as_str())?["http"].as_str()?.parse().ok()
        });
        let voters = leader.into_iter().chain(self.voters.iter().copied()).collect();
        let first = Operator { voters, ..self.clone() };
        let base = base.to_string();
        let headers = [("if-match", base.as_str()), ("foldshunt-op", op)];
        let (code, b) = first.ask(Method::PUT, "/v1/timetable?wait_ms=5000", &headers, text).await?;
        Some((code, serde_json::from_slice(&b).unwrap_or_default()))
    }
}
