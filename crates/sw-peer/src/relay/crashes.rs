//! Conversion of crashes and answered suspects.
//!
//! Parts and requests are in separate lists, because builds that do not know suspected requests skip their list.

use sw_relay::{AnsweredSuspect, CrashReport, Progress, Suspect};
use sw_unit::{Fingerprint, Incarnation, Millis, PartId};

use super::convert::{Result, millis};
use crate::convert::{len, parse};
use crate::relay_capnp as wire;

type CrashesReader<'a> = capnp::struct_list::Reader<'a, wire::crash::Owned>;
type CrashesBuilder<'a> = capnp::struct_list::Builder<'a, wire::crash::Owned>;
type AnsweredPartsReader<'a> = capnp::struct_list::Reader<'a, wire::answered_part::Owned>;
type AnsweredPartsBuilder<'a> = capnp::struct_list::Builder<'a, wire::answered_part::Owned>;
type AnsweredRequestsReader<'a> = capnp::struct_list::Reader<'a, wire::answered_request::Owned>;
type AnsweredRequestsBuilder<'a> = capnp::struct_list::Builder<'a, wire::answered_request::Owned>;

/// Suspects of one kind with the time since they were answered.
type Aged<T> = Vec<(T, Millis)>;

pub(super) fn set_crashes(mut to: CrashesBuilder<'_>, crashes: &[CrashReport]) {
    for (i, crash) in (0..).zip(crashes) {
        let mut to = to.reborrow().get(i);
        to.set_endpoint(crash.endpoint.as_str());
        to.set_incarnation(crash.incarnation.0);
        to.set_age_ms(millis(crash.age));
        to.set_progress(wire_progress(crash.progress));
        let ids: Vec<_> = crash.suspects.iter().filter_map(|suspect| part(*suspect)).collect();
        let mut parts = to.reborrow().init_suspects(len(&ids));
        for (i, id) in (0..).zip(&ids) {
            parts.set(i, id.0);
        }
        let ids: Vec<_> = crash.suspects.iter().filter_map(|suspect| request(*suspect)).collect();
        let mut requests = to.init_requests(len(&ids));
        for (i, id) in (0..).zip(&ids) {
            set_fingerprint(requests.reborrow().get(i), *id);
        }
    }
}

pub(super) fn crashes(from: CrashesReader<'_>) -> Result<Vec<CrashReport>> {
    let crashes = from.iter().map(|crash| {
        let parts = crash.get_suspects()?.iter().map(|id| Suspect::Part(PartId(id)));
        let requests = crash.get_requests()?.iter().map(fingerprint).map(Suspect::Request);
        Ok(CrashReport {
            endpoint: parse(crash.get_endpoint())?,
            incarnation: Incarnation(crash.get_incarnation()),
            suspects: parts.chain(requests).collect(),
            // A later build may have more values.
            progress: crash.get_progress().map_or(Progress::Writing, progress),
            age: Millis(u64::from(crash.get_age_ms())),
        })
    });
    crashes.collect()
}

/// Returns the answered parts and the answered requests with their ages.
pub(super) fn split_answered(answered: &[AnsweredSuspect]) -> (Aged<PartId>, Aged<Fingerprint>) {
    let parts = answered
        .iter()
        .filter_map(|answered| Some((part(answered.suspect)?, answered.age)));
    let requests = answered
        .iter()
        .filter_map(|answered| Some((request(answered.suspect)?, answered.age)));
    (parts.collect(), requests.collect())
}

pub(super) fn set_answered_parts(mut to: AnsweredPartsBuilder<'_>, parts: &[(PartId, Millis)]) {
    for (i, (part, age)) in (0..).zip(parts) {
        let mut to = to.reborrow().get(i);
        to.set_id(part.0);
        to.set_age_ms(millis(*age));
    }
}

pub(super) fn set_answered_requests(mut to: AnsweredRequestsBuilder<'_>, requests: &[(Fingerprint, Millis)]) {
    for (i, (request, age)) in (0..).zip(requests) {
        let mut to = to.reborrow().get(i);
        to.set_age_ms(millis(*age));
        set_fingerprint(to.init_fingerprint(), *request);
    }
}

pub(super) fn answered(
    parts: AnsweredPartsReader<'_>,
    requests: AnsweredRequestsReader<'_>,
) -> Result<Vec<AnsweredSuspect>> {
    let parts = parts.iter().map(|answered| {
        Ok(AnsweredSuspect {
            suspect: Suspect::Part(PartId(answered.get_id())),
            age: Millis(u64::from(answered.get_age_ms())),
        })
    });
    let requests = requests.iter().map(|answered| {
        Ok(AnsweredSuspect {
            suspect: Suspect::Request(fingerprint(answered.get_fingerprint()?)),
            age: Millis(u64::from(answered.get_age_ms())),
        })
    });
    parts.chain(requests).collect()
}

fn wire_progress(progress: Progress) -> wire::CrashProgress {
    match progress {
        Progress::NoEvent => wire::CrashProgress::NoEvent,
        Progress::Begun => wire::CrashProgress::Begun,
        Progress::Writing => wire::CrashProgress::Writing,
    }
}

fn progress(progress: wire::CrashProgress) -> Progress {
    match progress {
        wire::CrashProgress::NoEvent => Progress::NoEvent,
        wire::CrashProgress::Begun => Progress::Begun,
        wire::CrashProgress::Writing => Progress::Writing,
    }
}

fn part(suspect: Suspect) -> Option<PartId> {
    match suspect {
        Suspect::Part(part) => Some(part),
        Suspect::Request(_) => None,
    }
}

fn request(suspect: Suspect) -> Option<Fingerprint> {
    match suspect {
        Suspect::Request(request) => Some(request),
        Suspect::Part(_) => None,
    }
}

fn set_fingerprint(mut to: wire::fingerprint::Builder<'_>, fingerprint: Fingerprint) {
    to.set_high((fingerprint.0 >> 64) as u64);
    to.set_low(fingerprint.0 as u64);
}

fn fingerprint(from: wire::fingerprint::Reader<'_>) -> Fingerprint {
    Fingerprint(u128::from(from.get_high()) << 64 | u128::from(from.get_low()))
}
