//! Checks the requests of clients, and reads from their headers what the decision module needs.

use crate::config::NameTables;
use crate::forwarded_headers::connection_options;
use hyper::http::request::Parts;
use hyper::Method;
use percent_encoding::percent_decode_str;
use springusher::{Idempotency, Settings};
use std::time::Duration;

/// Customer numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Size limit of a request id in bytes.
const ID_LIMIT: usize = 128;
/// Headers that define the request. Each may occur only once, and `Connection` must not name one.
const REQUEST_HEADERS: [&str; 9] = [
    "host",
    "x-request-id",
    "x-class",
    "plan",
    "cookie",
    "x-deadline",
    "quota-info",
    "x-retry",
    "idempotency-key",
];

/// A request that passed validation.
pub struct ValidRequest {
    pub id: String,
    pub request: springusher::Request,
    /// How long its client waits for the response.
    pub client_timeout: Duration,
    pub uri: hyper::Uri,
}

/// Checks a request, so that malformed ones are not forwarded.
pub fn validate(head: &Parts, names: &NameTables, settings: &Settings) -> Result<ValidRequest, &'static str> {
    // Of two headers that contradict each other a server might use the one that this gateway did not.
    if REQUEST_HEADERS.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
        return Err("a header stands there twice");
    }
    // Headers that Connection names are not forwarded, and a repeated request without its id or idempotency key
    // would run a second time.
    let is_request_header =
        |name: &str| REQUEST_HEADERS.iter().any(|header| name.eq_ignore_ascii_case(header));
    if connection_options(&head.headers).any(is_request_header) {
        return Err("Connection names a header of the request");
    }
    let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let id = field("x-request-id").filter(|id| (1..=ID_LIMIT).contains(&id.len()));
    let id = id.filter(|id| id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)));
    let id = id.ok_or("X-Request-Id is missing or no id")?.to_string();
    // Names come from the settings and may contain any characters, so their bytes are compared.
    let index = |names: &[String], field: &str| {
        let name = head.headers.get(field)?.as_bytes().trim_ascii();
        names.iter().position(|known| known.as_bytes() == name)
    };
    let class = index(&names.classes, "x-class").ok_or("X-Class names no class")?;
    let first_segment = head.uri.path().split('/').nth(1).unwrap_or_default();
    if !percent_decode_str(first_segment).eq(names.classes[class].bytes()) {
        return Err("the path does not begin with the class");
    }
    // GET is for idempotent classes only and the only method for them: the method alone shows whether a request
    // may be sent again.
    if (settings.classes[class].idempotency == Idempotency::Idempotent) != (head.method == Method::GET) {
        return Err("the method is not the class's");
    }
    // Servers recognise a repeated request by its key; without one it would run a second time.
    let keyed = matches!(settings.classes[class].idempotency, Idempotency::Keyed { .. });
    if keyed && field("idempotency-key").is_none_or(str::is_empty) {
        return Err("the class wants an Idempotency-Key");
    }
    let plan = index(&names.plans, "plan").ok_or("Plan names no plan")?;
    let customer = field("cookie").and_then(parse_customer).ok_or("the cookie names no client")?;
    let class_deadline = Duration::from_secs_f64(settings.classes[class].deadline / 1000.0);
    let client_timeout = field("x-deadline")
        .and_then(parse_duration)
        .ok_or("X-Deadline is no length of time")?
        .min(class_deadline);
    let quota = field("quota-info").and_then(|text| parse_quota(text, settings));
    let (units, spread) = quota.ok_or("Quota-Info makes no sense")?;
    let target = head.uri.path_and_query().ok_or("the request has no path")?;
    let request = springusher::Request {
        id: 0,
        customer,
        plan,
        class,
        units,
        spread,
        expires_in: 0.0,
        is_client_retry: field("x-retry") == Some("1"),
    };
    Ok(ValidRequest { id, request, client_timeout, uri: target.clone().into() })
}

fn parse_customer(cookies: &str) -> Option<u64> {
    let mut clients = cookies.split(';').filter_map(|cookie| cookie.trim().strip_prefix("client="));
    let digits = clients.next()?;
    if clients.next().is_some()
        || digits.len() != 16
        || !digits.bytes().all(|digit| digit.is_ascii_hexdigit())
    {
        return None;
    }
    u64::from_str_radix(digits, 16).ok().filter(|customer| *customer < CUSTOMER_LIMIT)
}

/// A length of time: a number followed by `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Duration> {
    let (number, units_per_second) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let number = number.parse::<f64>().ok().filter(|number| *number > 0.0)?;
    Duration::try_from_secs_f64(number / units_per_second).ok()
}

/// The units and the number of gateways in the customer's set. A key that occurs twice is ambiguous and rejected.
fn parse_quota(text: &str, settings: &Settings) -> Option<(f64, u32)> {
    let value = |name: &str| {
        let mut values = text.split(',').filter_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key.trim() == name).then_some(value.trim())
        });
        values.next().filter(|_| values.next().is_none())
    };
    let units = value("units")?.parse::<f64>().ok()?;
    let spread = value("spread")?.parse::<u32>().ok()?;
    let first = value("first")?.parse::<u32>().ok()?;
    let valid = units > 0.0
        && units <= settings.max_units
        && (1..=settings.gateways).contains(&spread)
        && first < settings.gateways;
    valid.then_some((units, spread))
}
