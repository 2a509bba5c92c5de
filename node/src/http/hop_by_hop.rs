use hyper::{header, HeaderMap};

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// Removes hop-by-hop headers, including those named by the `connection` header.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .filter(|n| !n.is_empty())
        .collect();
    for name in HOP_BY_HOP.into_iter().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
}
