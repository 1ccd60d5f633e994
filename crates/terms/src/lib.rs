//! The settings that a proxy is given at its start, on any wire: reads what the decisions need and builds
//! them. Unknown keys are ignored.

use anyhow::Result;
use serde::Deserialize;
use shelfgrade::choice::{Chooser, WarmUp};
use shelfgrade::host::{Circle, Effect, Offering};
use shelfgrade::time::Span;

#[derive(Deserialize)]
struct Env {
    discovery: Discovery,
    offerings: Vec<Class>,
    bounds: Bounds,
    invariants: Invariants,
    #[serde(default)]
    extra: Extra,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    idempotency: Idempotency,
    #[serde(default)]
    group: Group,
    #[serde(default)]
    window_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Idempotency {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Group {
    All,
    Zone,
    /// The narrowest, where the settings leave it out.
    #[default]
    Cell,
}

#[derive(Deserialize)]
struct Bounds {
    most_connects: usize,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    dial_timeout_ms: f64,
}

#[derive(Deserialize)]
struct Invariants {
    #[serde(default)]
    cold_from: f64,
    #[serde(default)]
    cold_ms: f64,
    overload_factor: f64,
    #[serde(default)]
    must_ask_in_ms: f64,
}

#[derive(Deserialize, Default)]
struct Extra {
    #[serde(default)]
    message_aim_ms: Vec<f64>,
    #[serde(default)]
    tells_delay: bool,
}

/// A proxy's terms, read.
pub struct Terms {
    pub chooser: Chooser,
    /// The offerings' names in their order.
    pub offerings: Vec<String>,
    /// A connection that is not established within this has failed; none where the terms leave it open.
    pub dial_time_out: Option<Span>,
    /// Servers tell by themselves how long messages take.
    pub tells_delay: bool,
    /// Probes are allowed, and of use: nobody tells how long messages take.
    pub may_probe: bool,
}

/// Reads the terms from the text of their JSON object.
pub fn parse(seed: u64, text: &str) -> Result<Terms> {
    let env: Env = serde_json::from_str(text)?;
    let Env { offerings, invariants, bounds, extra, .. } = env;
    let warm_up = WarmUp {
        cold_from: invariants.cold_from,
        cold_span: Span::from_ms(invariants.cold_ms),
        fall_multiple: invariants.overload_factor,
    };
    let must_ask_in = match env.discovery {
        Discovery::Automatic => None,
        Discovery::Subscribe => Some(Span::from_ms(invariants.must_ask_in_ms)),
    };
    let known = offerings.iter().enumerate().map(|(i, class)| Offering {
        effect: match class.idempotency {
            Idempotency::Repeatable => Effect::Replayable,
            Idempotency::Once => Effect::SingleUse,
            Idempotency::ByKey => Effect::Referenced {
                among: match class.group {
                    Group::All => Circle::All,
                    Group::Zone => Circle::Zone,
                    Group::Cell => Circle::Cell,
                },
                window: Span::from_ms(class.window_ms),
            },
        },
        message_limit: extra.message_aim_ms.get(i).copied().map(Span::from_ms),
    });
    let chooser = Chooser::new(
        seed,
        known.collect(),
        bounds.most_connects,
        Span::from_ms(bounds.max_retry_after_ms),
        must_ask_in,
        warm_up,
    );
    Ok(Terms {
        chooser,
        offerings: offerings.into_iter().map(|o| o.name).collect(),
        dial_time_out: Some(bounds.dial_timeout_ms).filter(|ms| *ms > 0.0).map(Span::from_ms),
        tells_delay: extra.tells_delay,
        may_probe: bounds.probes && !extra.tells_delay,
    })
}
