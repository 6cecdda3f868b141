//! Conversion between the structs of the schema and the types of the gateway.

use std::fmt::Display;
use std::str::FromStr;

use capnp::text;
use sw_error::{Kind, Refusal};
use sw_gate::{ConfigOffer, DeltaBase, Envelope, Heartbeat, HeartbeatSender, StoreObservation};
use sw_load::{DomainSummary, ModelLoad, Report};
use sw_member::{EndpointIncarnation, VmBrief, VmRow, VmSize};
use sw_unit::{Digest, Incarnation, Millis, Version};

use crate::ForwardedRequest;
use crate::peer_capnp as wire;

type Result<T> = std::result::Result<T, capnp::Error>;

/// Parses a text field.
pub(crate) fn parse<T: FromStr<Err: Display>>(text: Result<text::Reader<'_>>) -> Result<T> {
    let text = text?.to_str()?;
    text.parse()
        .map_err(|error: T::Err| capnp::Error::failed(error.to_string()))
}

pub(crate) fn text(text: Result<text::Reader<'_>>) -> Result<String> {
    Ok(text?.to_str()?.to_owned())
}

pub(crate) fn len<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}

pub(crate) fn set_vm_row(mut to: wire::vm_row::Builder<'_>, row: &VmRow) {
    to.set_vm(row.vm.as_str());
    to.set_incarnation(row.incarnation.0);
    to.set_domain(row.domain.as_str());
    to.set_region(row.region.as_str());
    to.set_listen(row.listen.to_string().as_str());
    to.set_peer_listen(row.peer_listen.to_string().as_str());
    to.set_leaving(row.leaving);
    to.set_version(row.version.0);
    to.set_size(row.size.0);
}

pub(crate) fn vm_row(from: wire::vm_row::Reader<'_>) -> Result<VmRow> {
    Ok(VmRow {
        vm: parse(from.get_vm())?,
        incarnation: Incarnation(from.get_incarnation()),
        domain: parse(from.get_domain())?,
        region: parse(from.get_region())?,
        listen: parse(from.get_listen())?,
        peer_listen: parse(from.get_peer_listen())?,
        leaving: from.get_leaving(),
        version: Version(from.get_version()),
        size: VmSize(from.get_size()),
    })
}

fn set_vm_brief(mut to: wire::vm_brief::Builder<'_>, brief: &VmBrief) {
    to.set_vm(brief.vm.as_str());
    to.set_incarnation(brief.incarnation.0);
    to.set_leaving(brief.leaving);
    to.set_version(brief.version.0);
}

fn sender(from: wire::heartbeat::Reader<'_>) -> Result<HeartbeatSender> {
    if from.has_from() {
        return vm_row(from.get_from()?).map(HeartbeatSender::Full);
    }
    let brief = from.get_brief()?;
    Ok(HeartbeatSender::Brief(VmBrief {
        vm: parse(brief.get_vm())?,
        incarnation: Incarnation(brief.get_incarnation()),
        leaving: brief.get_leaving(),
        version: Version(brief.get_version()),
    }))
}

fn set_report(mut to: wire::report::Builder<'_>, report: &Report) {
    to.set_endpoint(report.endpoint.as_str());
    to.set_incarnation(report.incarnation.0);
    to.set_running(report.running);
    to.set_queued(report.queued);
    to.set_leaving(report.leaving);
    to.set_age_ms(report.age.0);
    if let Some(loaded) = &report.loaded {
        let mut models = to.init_loaded(len(loaded));
        for (index, model) in (0..).zip(loaded) {
            models.set(index, model.as_str());
        }
    }
}

fn report(from: wire::report::Reader<'_>) -> Result<Report> {
    let loaded = if from.has_loaded() {
        Some(from.get_loaded()?.iter().map(parse).collect::<Result<_>>()?)
    } else {
        None
    };
    Ok(Report {
        endpoint: parse(from.get_endpoint())?,
        incarnation: Incarnation(from.get_incarnation()),
        running: from.get_running(),
        queued: from.get_queued(),
        leaving: from.get_leaving(),
        age: Millis(from.get_age_ms()),
        loaded,
    })
}

fn set_summary(mut to: wire::domain_summary::Builder<'_>, summary: &DomainSummary) {
    to.set_domain(summary.domain.as_str());
    to.set_age_ms(summary.age.0);
    let mut models = to.reborrow().init_models(len(&summary.models));
    for (index, load) in (0..).zip(&summary.models) {
        let mut row = models.reborrow().get(index);
        row.set_model(load.model.as_str());
        row.set_slots(load.slots);
        row.set_load(load.load);
    }
    let mut live_digests = to.reborrow().init_vouched(len(&summary.live_digests));
    for (index, digest) in (0..).zip(&summary.live_digests) {
        live_digests.set(index, *digest);
    }
    let mut vms = to.init_vms(len(&summary.vms));
    for (index, row) in (0..).zip(&summary.vms) {
        set_vm_row(vms.reborrow().get(index), row);
    }
}

fn summary(from: wire::domain_summary::Reader<'_>) -> Result<DomainSummary> {
    let model = |row: wire::model_load::Reader<'_>| {
        Ok(ModelLoad {
            model: parse(row.get_model())?,
            slots: row.get_slots(),
            load: row.get_load(),
        })
    };
    Ok(DomainSummary {
        domain: parse(from.get_domain())?,
        models: from.get_models()?.iter().map(model).collect::<Result<_>>()?,
        vms: from.get_vms()?.iter().map(vm_row).collect::<Result<_>>()?,
        live_digests: from.get_vouched()?.iter().collect(),
        age: Millis(from.get_age_ms()),
    })
}

pub(crate) fn set_heartbeat(mut to: wire::heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    match &heartbeat.sender {
        HeartbeatSender::Full(row) => set_vm_row(to.reborrow().init_from(), row),
        HeartbeatSender::Brief(brief) => set_vm_brief(to.reborrow().init_brief(), brief),
    }
    to.set_receiver_digest(heartbeat.receiver_digest);
    to.set_members_digest(heartbeat.members_digest);
    let mut members = to.reborrow().init_members(len(&heartbeat.members));
    for (index, row) in (0..).zip(&heartbeat.members) {
        set_vm_row(members.reborrow().get(index), row);
    }
    let mut leaving = to.reborrow().init_leaving(len(&heartbeat.leaving));
    for (index, incarnation) in (0..).zip(&heartbeat.leaving) {
        let mut row = leaving.reborrow().get(index);
        row.set_endpoint(incarnation.endpoint.as_str());
        row.set_incarnation(incarnation.incarnation.0);
    }
    let mut reports = to.reborrow().init_reports(len(&heartbeat.reports));
    for (index, report) in (0..).zip(&heartbeat.reports) {
        set_report(reports.reborrow().get(index), report);
    }
    to.set_store_revision(heartbeat.store.revision);
    to.set_store_distrust_ms(heartbeat.store.quarantine.0);
    let mut summaries = to.init_summaries(len(&heartbeat.summaries));
    for (index, summary) in (0..).zip(&heartbeat.summaries) {
        set_summary(summaries.reborrow().get(index), summary);
    }
}

pub(crate) fn heartbeat(from: wire::heartbeat::Reader<'_>) -> Result<Heartbeat> {
    let incarnation = |row: wire::endpoint_life::Reader<'_>| {
        Ok(EndpointIncarnation {
            endpoint: parse(row.get_endpoint())?,
            incarnation: Incarnation(row.get_incarnation()),
        })
    };
    Ok(Heartbeat {
        sender: sender(from)?,
        receiver_digest: from.get_receiver_digest(),
        members_digest: from.get_members_digest(),
        members: from.get_members()?.iter().map(vm_row).collect::<Result<_>>()?,
        leaving: from.get_leaving()?.iter().map(incarnation).collect::<Result<_>>()?,
        reports: from.get_reports()?.iter().map(report).collect::<Result<_>>()?,
        summaries: from.get_summaries()?.iter().map(summary).collect::<Result<_>>()?,
        store: StoreObservation {
            revision: from.get_store_revision(),
            quarantine: Millis(from.get_store_distrust_ms()),
        },
    })
}

/// Writes a forwarded request except its body.
pub(crate) fn set_envelope(mut to: wire::envelope::Builder<'_>, forwarded: &ForwardedRequest) {
    let envelope = &forwarded.envelope;
    to.set_request(envelope.request_id.as_str());
    to.set_workspace(envelope.workspace.as_str());
    to.set_route(envelope.route.as_str());
    to.set_version(envelope.version.0);
    to.set_left_ms(envelope.remaining.0);
    to.set_hops(envelope.hops);
    to.set_purpose(envelope.purpose.to_string().as_str());
    if let Some(ticket) = &envelope.ticket {
        to.set_ticket(ticket.to_string().as_str());
    }
    to.set_method(forwarded.method.as_str());
    to.set_path(forwarded.path.as_str());
    to.set_content_type(forwarded.content_type.as_str());
}

/// Reads a forwarded request except its body.
pub(crate) fn forwarded_request(from: wire::envelope::Reader<'_>) -> Result<ForwardedRequest> {
    let ticket = if from.has_ticket() {
        Some(parse(from.get_ticket())?)
    } else {
        None
    };
    let envelope = Envelope {
        request_id: text(from.get_request())?,
        workspace: parse(from.get_workspace())?,
        route: parse(from.get_route())?,
        version: Version(from.get_version()),
        remaining: Millis(from.get_left_ms()),
        hops: from.get_hops(),
        purpose: parse(from.get_purpose())?,
        ticket,
    };
    Ok(ForwardedRequest {
        envelope,
        method: text(from.get_method())?,
        path: text(from.get_path())?,
        content_type: text(from.get_content_type())?,
        body: bytes::Bytes::new(),
    })
}

pub(crate) fn set_refusal(mut to: wire::refusal::Builder<'_>, refusal: Refusal) {
    let (kind, common): (&str, &str) = (refusal.kind.into(), common_kind(refusal.kind).into());
    to.set_kind(common);
    if kind != common {
        to.set_specific_kind(kind);
    }
    to.set_has_retry_after(refusal.retry_after.is_some());
    to.set_retry_after_ms(refusal.retry_after.unwrap_or_default().0);
}

pub(crate) fn refusal(from: wire::refusal::Reader<'_>) -> Result<Refusal> {
    let retry_after = from.get_has_retry_after().then(|| Millis(from.get_retry_after_ms()));
    let common = parse(from.get_kind())?;
    let specific = from.get_specific_kind()?.to_str().unwrap_or_default();
    Ok(Refusal {
        kind: specific.parse().unwrap_or(common),
        retry_after,
    })
}

/// Returns the kind that all builds know in place of a newer one.
fn common_kind(kind: Kind) -> Kind {
    match kind {
        Kind::QuarantinedRequest => Kind::QuarantinedPrompt,
        Kind::KeyUnverified => Kind::NoConfiguration,
        known => known,
    }
}

pub(crate) fn set_config_offer(mut to: wire::configuration::Builder<'_>, offer: &ConfigOffer) {
    to.set_version(offer.number.0);
    to.set_digest(&offer.digest.0);
    to.set_text(offer.text.as_str());
    if let Some(base) = offer.base {
        to.set_base(&base.digest.0);
        to.set_prefix_len(base.prefix as u64);
        to.set_suffix_len(base.suffix as u64);
    }
}

/// Reads a configuration; `None` if the peer has none.
pub(crate) fn config_offer(from: wire::configuration::Reader<'_>) -> Result<Option<ConfigOffer>> {
    let number = Version(from.get_version());
    if number == Version(0) {
        return Ok(None);
    }
    let base = if from.has_base() {
        let (prefix, suffix) = (from.get_prefix_len() as usize, from.get_suffix_len() as usize);
        Some(DeltaBase {
            digest: digest(from.get_base()?)?,
            prefix,
            suffix,
        })
    } else {
        None
    };
    let (digest, text) = (digest(from.get_digest()?)?, text(from.get_text())?);
    Ok(Some(ConfigOffer {
        number,
        digest,
        text,
        base,
    }))
}

pub(crate) fn digest(bytes: &[u8]) -> Result<Digest> {
    let bytes = bytes.try_into();
    bytes
        .map(Digest)
        .map_err(|_wrong_length| capnp::Error::failed("the digest has a wrong length".to_owned()))
}
