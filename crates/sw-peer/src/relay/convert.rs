//! Conversion between the structs of the schema and the types of sw-relay: heartbeats, calls and stream origins.

use sw_relay::{
    CachedPart, DomainView, EndpointLoad, HeardVersion, Heartbeat, RouteDemand, RowQuery, ServiceId, ServiceLoad,
    ServiceVersions, SoftwareVersion, StreamOrigin, VersionAge, VmAge,
};
use sw_unit::{Incarnation, Millis, Version};

use super::crashes::{answered, crashes, set_answered_parts, set_answered_requests, set_crashes, split_answered};
use super::limits::{rate_limits, set_rate_limits};
use super::store;
use crate::convert::{len, parse, set_vm_row, text, vm_row};
use crate::relay_capnp as wire;

pub(super) type Result<T> = std::result::Result<T, capnp::Error>;

type EndpointLoadsReader<'a> = capnp::struct_list::Reader<'a, wire::endpoint_load::Owned>;
type CachedPartsReader<'a> = capnp::struct_list::Reader<'a, wire::kept_part::Owned>;
type CachedPartsBuilder<'a> = capnp::struct_list::Builder<'a, wire::kept_part::Owned>;
type DemandsReader<'a> = capnp::struct_list::Reader<'a, wire::route_demand::Owned>;
type DemandsBuilder<'a> = capnp::struct_list::Builder<'a, wire::route_demand::Owned>;
type EndpointLoadsBuilder<'a> = capnp::struct_list::Builder<'a, wire::endpoint_load::Owned>;

pub(super) fn set_heartbeat(mut to: wire::beat::Builder<'_>, heartbeat: &Heartbeat) {
    set_vm_row(to.reborrow().init_from(), &heartbeat.from);
    to.set_members(heartbeat.members_digest);
    store::set_store_state(to.reborrow(), heartbeat.store);
    let mut known = to.reborrow().init_known(len(&heartbeat.known_vms));
    for (i, row) in (0..).zip(&heartbeat.known_vms) {
        set_vm_row(known.reborrow().get(i), row);
    }
    set_endpoint_loads(
        to.reborrow().init_endpoints(len(&heartbeat.endpoints)),
        &heartbeat.endpoints,
    );
    set_cached_parts(
        to.reborrow().init_kept(len(&heartbeat.cached_parts)),
        &heartbeat.cached_parts,
    );
    set_rate_limits(
        to.reborrow().init_rate_limits(len(&heartbeat.rate_limits)),
        &heartbeat.rate_limits,
    );
    set_crashes(to.reborrow().init_crashes(len(&heartbeat.crashes)), &heartbeat.crashes);
    let (parts, requests) = split_answered(&heartbeat.answered);
    set_answered_parts(to.reborrow().init_answered_parts(len(&parts)), &parts);
    set_answered_requests(to.reborrow().init_answered_requests(len(&requests)), &requests);
    set_versions(
        to.reborrow().init_versions(len(&heartbeat.versions)),
        &heartbeat.versions,
    );
    set_services(to.reborrow().init_cut_off(len(&heartbeat.cut_off)), &heartbeat.cut_off);
    set_row_query(to.reborrow(), heartbeat.row_query);
    to.set_proof_ms(encode_age(heartbeat.proof_age));
    set_demands(to.reborrow().init_demands(len(&heartbeat.demands)), &heartbeat.demands);
    if let Some(heard) = heartbeat.newer_version {
        to.set_newer_version(heard.version.0);
        to.set_newer_heard_ms(millis(heard.age));
    }
    let mut domains = to.init_domains(len(&heartbeat.domains));
    for (i, view) in (0..).zip(&heartbeat.domains) {
        set_domain_view(domains.reborrow().get(i), view);
    }
}

fn set_domain_view(mut to: wire::domain_view::Builder<'_>, view: &DomainView) {
    to.set_domain(view.domain.as_str());
    to.set_region(view.region.as_str());
    to.set_age_ms(millis(view.age));
    let mut vms = to.reborrow().init_vms(len(&view.vms));
    for (i, vm) in (0..).zip(&view.vms) {
        let mut to = vms.reborrow().get(i);
        to.set_vm(vm.vm.as_str());
        to.set_incarnation(vm.incarnation.0);
        to.set_age_ms(millis(vm.age));
        set_services(to.init_cut_off(len(&vm.cut_off)), &vm.cut_off);
    }
    set_endpoint_loads(to.reborrow().init_endpoints(len(&view.endpoints)), &view.endpoints);
    set_cached_parts(to.reborrow().init_kept(len(&view.cached_parts)), &view.cached_parts);
    set_rate_limits(
        to.reborrow().init_rate_limits(len(&view.rate_limits)),
        &view.rate_limits,
    );
    set_crashes(to.reborrow().init_crashes(len(&view.crashes)), &view.crashes);
    let (parts, requests) = split_answered(&view.answered);
    set_answered_parts(to.reborrow().init_answered_parts(len(&parts)), &parts);
    set_answered_requests(to.reborrow().init_answered_requests(len(&requests)), &requests);
    set_demands(to.reborrow().init_demands(len(&view.demands)), &view.demands);
    let mut services = to.init_services(len(&view.services));
    for (i, load) in (0..).zip(&view.services) {
        let mut to = services.reborrow().get(i);
        to.set_service(load.service.as_str());
        to.set_usable(load.usable);
        to.set_wait_ms(load.wait_ms as u32);
        to.set_gap_ms(load.gap_ms as u32);
    }
}

fn set_services(mut to: capnp::text_list::Builder<'_>, services: &[ServiceId]) {
    for (i, service) in (0..).zip(services) {
        to.set(i, service.as_str());
    }
}

fn services(from: capnp::text_list::Reader<'_>) -> Result<Vec<ServiceId>> {
    from.iter().map(parse).collect()
}

fn set_endpoint_loads(mut to: EndpointLoadsBuilder<'_>, loads: &[EndpointLoad]) {
    for (i, load) in (0..).zip(loads) {
        let mut to = to.reborrow().get(i);
        to.set_endpoint(load.endpoint.as_str());
        to.set_running(load.running);
        to.set_backlog_ms(load.backlog_ms as u32);
        to.set_gap_ms(load.gap_ms.unwrap_or_default() as u32);
    }
}

fn set_cached_parts(mut to: CachedPartsBuilder<'_>, parts: &[CachedPart]) {
    for (i, part) in (0..).zip(parts) {
        let mut to = to.reborrow().get(i);
        to.set_key(part.key);
        to.set_endpoint(part.endpoint.as_str());
        to.set_age_ms(millis(part.age));
    }
}

fn cached_parts(from: CachedPartsReader<'_>) -> Result<Vec<CachedPart>> {
    let parts = from.iter().map(|part| {
        Ok(CachedPart {
            key: part.get_key(),
            endpoint: parse(part.get_endpoint())?,
            age: Millis(u64::from(part.get_age_ms())),
        })
    });
    parts.collect()
}

pub(super) fn millis(duration: Millis) -> u32 {
    u32::try_from(duration.0).unwrap_or(u32::MAX)
}

/// Encodes an age, or its absence as 0.
pub(super) fn encode_age(age: Option<Millis>) -> u32 {
    age.map_or(0, |age| millis(age).saturating_add(1))
}

/// Decodes an age; 0 is its absence.
pub(super) fn decode_age(code: u32) -> Option<Millis> {
    code.checked_sub(1).map(|age| Millis(u64::from(age)))
}

fn heard_version(from: wire::beat::Reader<'_>) -> Option<HeardVersion> {
    let (version, age) = (from.get_newer_version(), from.get_newer_heard_ms());
    (version > 0).then(|| HeardVersion {
        version: Version(version),
        age: Millis(u64::from(age)),
    })
}

pub(super) fn heartbeat(from: wire::beat::Reader<'_>) -> Result<Heartbeat> {
    let known = from.get_known()?.iter().map(vm_row);
    let domains = from.get_domains()?.iter().map(domain_view);
    Ok(Heartbeat {
        from: vm_row(from.get_from()?)?,
        members_digest: from.get_members(),
        known_vms: known.collect::<Result<_>>()?,
        store: store::store_state(from),
        endpoints: endpoint_loads(from.get_endpoints()?)?,
        domains: domains.collect::<Result<_>>()?,
        cached_parts: cached_parts(from.get_kept()?)?,
        rate_limits: rate_limits(from.get_rate_limits()?)?,
        crashes: crashes(from.get_crashes()?)?,
        answered: answered(from.get_answered_parts()?, from.get_answered_requests()?)?,
        versions: versions(from.get_versions()?)?,
        cut_off: services(from.get_cut_off()?)?,
        newer_version: heard_version(from),
        row_query: row_query(from),
        proof_age: decode_age(from.get_proof_ms()),
        demands: demands(from.get_demands()?)?,
    })
}

/// Encodes a time of less than a millisecond as 1, as 0 means none.
fn set_row_query(mut to: wire::beat::Builder<'_>, query: RowQuery) {
    to.set_takes_differences(query.takes_differences);
    to.set_wants_rows(query.wants_all);
    to.set_heard_ms(query.last_heard.map_or(0, |heard| millis(heard).max(1)));
}

fn row_query(from: wire::beat::Reader<'_>) -> RowQuery {
    let heard_ms = from.get_heard_ms();
    RowQuery {
        takes_differences: from.get_takes_differences(),
        wants_all: from.get_wants_rows(),
        last_heard: (heard_ms > 0).then(|| Millis(u64::from(heard_ms))),
    }
}

fn domain_view(from: wire::domain_view::Reader<'_>) -> Result<DomainView> {
    let vms = from.get_vms()?.iter().map(|vm| {
        Ok(VmAge {
            vm: parse(vm.get_vm())?,
            incarnation: Incarnation(vm.get_incarnation()),
            age: Millis(u64::from(vm.get_age_ms())),
            cut_off: services(vm.get_cut_off()?)?,
        })
    });
    let services = from.get_services()?.iter().map(|load| {
        Ok(ServiceLoad {
            service: parse(load.get_service())?,
            usable: load.get_usable(),
            wait_ms: f64::from(load.get_wait_ms()),
            gap_ms: f64::from(load.get_gap_ms()),
        })
    });
    Ok(DomainView {
        domain: parse(from.get_domain())?,
        region: parse(from.get_region())?,
        age: Millis(u64::from(from.get_age_ms())),
        vms: vms.collect::<Result<_>>()?,
        endpoints: endpoint_loads(from.get_endpoints()?)?,
        services: services.collect::<Result<_>>()?,
        cached_parts: cached_parts(from.get_kept()?)?,
        rate_limits: rate_limits(from.get_rate_limits()?)?,
        crashes: crashes(from.get_crashes()?)?,
        answered: answered(from.get_answered_parts()?, from.get_answered_requests()?)?,
        demands: demands(from.get_demands()?)?,
    })
}

fn set_demands(mut to: DemandsBuilder<'_>, demands: &[RouteDemand]) {
    for (i, demand) in (0..).zip(demands) {
        let mut to = to.reborrow().get(i);
        to.set_route(demand.route.as_str());
        to.set_service(demand.service.as_str());
        to.set_work_ms(demand.work_ms as u32);
    }
}

fn demands(from: DemandsReader<'_>) -> Result<Vec<RouteDemand>> {
    let demands = from.iter().map(|demand| {
        Ok(RouteDemand {
            route: text(demand.get_route())?,
            service: parse(demand.get_service())?,
            work_ms: f64::from(demand.get_work_ms()),
        })
    });
    demands.collect()
}

fn endpoint_loads(from: EndpointLoadsReader<'_>) -> Result<Vec<EndpointLoad>> {
    let loads = from.iter().map(|load| {
        Ok(EndpointLoad {
            endpoint: parse(load.get_endpoint())?,
            running: load.get_running(),
            backlog_ms: f64::from(load.get_backlog_ms()),
            gap_ms: Some(load.get_gap_ms()).filter(|gap| *gap > 0).map(f64::from),
        })
    });
    loads.collect()
}

/// Decodes a software version; an empty one is not stated.
pub(super) fn software(from: capnp::text::Reader<'_>) -> Result<Option<SoftwareVersion>> {
    if from.is_empty() {
        return Ok(None);
    }
    parse(Ok(from)).map(Some)
}

pub(super) fn set_origin(mut to: wire::stream_origin::Builder<'_>, origin: &StreamOrigin) {
    to.set_stream(&*origin.stream);
    to.set_service(origin.service.as_str());
    to.set_software(origin.software.as_str());
}

pub(super) fn origin(from: wire::stream_origin::Reader<'_>) -> Result<StreamOrigin> {
    Ok(StreamOrigin {
        stream: text(from.get_stream())?.into(),
        service: parse(from.get_service())?,
        software: parse(from.get_software())?,
    })
}

fn set_versions(mut to: capnp::struct_list::Builder<'_, wire::service_versions::Owned>, reports: &[ServiceVersions]) {
    for (i, report) in (0..).zip(reports) {
        let mut to = to.reborrow().get(i);
        to.set_service(report.service.as_str());
        to.set_observed_ms(millis(report.observed_for));
        let mut versions = to.init_versions(len(&report.versions));
        for (i, version) in (0..).zip(&report.versions) {
            let mut to = versions.reborrow().get(i);
            to.set_version(version.software.as_ref().map_or("", SoftwareVersion::as_str));
            to.set_age_ms(millis(version.age));
        }
    }
}

fn versions(from: capnp::struct_list::Reader<'_, wire::service_versions::Owned>) -> Result<Vec<ServiceVersions>> {
    let reports = from.iter().map(|report| {
        let versions = report.get_versions()?.iter().map(|version| {
            Ok(VersionAge {
                software: software(version.get_version()?)?,
                age: Millis(u64::from(version.get_age_ms())),
            })
        });
        Ok(ServiceVersions {
            service: parse(report.get_service())?,
            observed_for: Millis(u64::from(report.get_observed_ms())),
            versions: versions.collect::<Result<_>>()?,
        })
    });
    reports.collect()
}
