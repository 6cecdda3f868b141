//! Conversion of the rate limits and rejection limits of endpoints.

use sw_relay::{EndpointRateLimit, LimitKind, RateLimitState};
use sw_unit::{Incarnation, Millis, Rate};

use super::convert::{Result, millis};
use crate::convert::parse;
use crate::relay_capnp as wire;

type RateLimitsReader<'a> = capnp::struct_list::Reader<'a, wire::endpoint_rate_limit::Owned>;
type RateLimitsBuilder<'a> = capnp::struct_list::Builder<'a, wire::endpoint_rate_limit::Owned>;

/// Encodes that an endpoint no longer has a rate limit.
const RATE_LIMIT_ENDED: f64 = -1.0;
/// What is written as the rate limit where another limit is reported, for builds that know rate limits alone.
const NO_RATE_LIMIT: RateLimitState = RateLimitState {
    incarnation: Incarnation(0),
    rate: None,
    age: Millis(u32::MAX as u64),
};

pub(super) fn set_rate_limits(mut to: RateLimitsBuilder<'_>, limits: &[EndpointRateLimit]) {
    for (i, limit) in (0..).zip(limits) {
        let mut to = to.reborrow().get(i);
        to.set_endpoint(limit.endpoint.as_str());
        match limit.kind {
            LimitKind::Requests => set_rate_limit(to.init_state(), limit.state),
            LimitKind::Rejections => {
                set_rate_limit(to.reborrow().init_state(), NO_RATE_LIMIT);
                set_rate_limit(to.init_rejections(), limit.state);
            }
        }
    }
}

pub(super) fn rate_limits(from: RateLimitsReader<'_>) -> Result<Vec<EndpointRateLimit>> {
    let limits = from.iter().map(|limit| {
        let (kind, state) = if limit.has_rejections() {
            (LimitKind::Rejections, limit.get_rejections()?)
        } else {
            (LimitKind::Requests, limit.get_state()?)
        };
        Ok(EndpointRateLimit {
            endpoint: parse(limit.get_endpoint())?,
            kind,
            state: rate_limit(state),
        })
    });
    limits.collect()
}

pub(super) fn set_rate_limit(mut to: wire::rate_limit::Builder<'_>, limit: RateLimitState) {
    to.set_incarnation(limit.incarnation.0);
    to.set_per_second(limit.rate.map_or(RATE_LIMIT_ENDED, |rate| rate.0));
    to.set_age_ms(millis(limit.age));
}

fn rate_limit(from: wire::rate_limit::Reader<'_>) -> RateLimitState {
    RateLimitState {
        incarnation: Incarnation(from.get_incarnation()),
        rate: Some(from.get_per_second()).filter(|rate| *rate >= 0.0).map(Rate),
        age: Millis(u64::from(from.get_age_ms())),
    }
}

pub(super) fn optional_rate_limit(
    is_set: bool,
    from: Result<wire::rate_limit::Reader<'_>>,
) -> Result<Option<RateLimitState>> {
    if is_set {
        from.map(rate_limit).map(Some)
    } else {
        Ok(None)
    }
}
