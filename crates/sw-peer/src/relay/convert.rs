//! Conversion between the wire's structs and the project's types.

use bytes::Bytes;
use sw_relay::{Beat, DomainView, EndpointLoad, ServiceLoad, VmAge};
use sw_store::{Item, Snapshot};
use sw_unit::{Incarnation, Millis};

use super::RelayCall;
use crate::convert::{len, parse, set_vm_row, text, vm_row};
use crate::relay_capnp as wire;

type Result<T> = std::result::Result<T, capnp::Error>;

/// The headers of a call or an answer.
type Headers = [(String, Bytes)];

type EndpointLoads<'a> = capnp::struct_list::Reader<'a, wire::endpoint_load::Owned>;
type EndpointLoadsTo<'a> = capnp::struct_list::Builder<'a, wire::endpoint_load::Owned>;

pub(super) fn set_beat(mut to: wire::beat::Builder<'_>, beat: &Beat) {
    set_vm_row(to.reborrow().init_from(), &beat.from);
    to.set_members(beat.members);
    to.set_revision(beat.revision);
    let mut known = to.reborrow().init_known(len(&beat.known));
    for (i, row) in (0..).zip(&beat.known) {
        set_vm_row(known.reborrow().get(i), row);
    }
    set_endpoints(to.reborrow().init_endpoints(len(&beat.endpoints)), &beat.endpoints);
    let mut domains = to.init_domains(len(&beat.domains));
    for (i, view) in (0..).zip(&beat.domains) {
        set_view(domains.reborrow().get(i), view);
    }
}

fn set_view(mut to: wire::domain_view::Builder<'_>, view: &DomainView) {
    to.set_domain(view.domain.as_str());
    to.set_region(view.region.as_str());
    to.set_age_ms(millis(view.age));
    let mut vms = to.reborrow().init_vms(len(&view.vms));
    for (i, vm) in (0..).zip(&view.vms) {
        let mut to = vms.reborrow().get(i);
        to.set_vm(vm.vm.as_str());
        to.set_incarnation(vm.incarnation.0);
        to.set_age_ms(millis(vm.age));
    }
    set_endpoints(to.reborrow().init_endpoints(len(&view.endpoints)), &view.endpoints);
    let mut services = to.init_services(len(&view.services));
    for (i, load) in (0..).zip(&view.services) {
        let mut to = services.reborrow().get(i);
        to.set_service(load.service.as_str());
        to.set_usable(load.usable);
        to.set_wait_ms(load.wait_ms as u32);
        to.set_gap_ms(load.gap_ms as u32);
    }
}

fn set_endpoints(mut to: EndpointLoadsTo<'_>, loads: &[EndpointLoad]) {
    for (i, load) in (0..).zip(loads) {
        let mut to = to.reborrow().get(i);
        to.set_endpoint(load.endpoint.as_str());
        to.set_running(load.running);
        to.set_backlog_ms(load.backlog_ms as u32);
    }
}

fn millis(span: Millis) -> u32 {
    u32::try_from(span.0).unwrap_or(u32::MAX)
}

pub(super) fn beat(from: wire::beat::Reader<'_>) -> Result<Beat> {
    let known = from.get_known()?.iter().map(vm_row);
    let domains = from.get_domains()?.iter().map(view);
    Ok(Beat {
        from: vm_row(from.get_from()?)?,
        members: from.get_members(),
        known: known.collect::<Result<_>>()?,
        revision: from.get_revision(),
        endpoints: endpoints(from.get_endpoints()?)?,
        domains: domains.collect::<Result<_>>()?,
    })
}

fn view(from: wire::domain_view::Reader<'_>) -> Result<DomainView> {
    let vms = from.get_vms()?.iter().map(|vm| {
        Ok(VmAge {
            vm: parse(vm.get_vm())?,
            incarnation: Incarnation(vm.get_incarnation()),
            age: Millis(u64::from(vm.get_age_ms())),
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
        endpoints: endpoints(from.get_endpoints()?)?,
        services: services.collect::<Result<_>>()?,
    })
}

fn endpoints(from: EndpointLoads<'_>) -> Result<Vec<EndpointLoad>> {
    let loads = from.iter().map(|load| {
        Ok(EndpointLoad {
            endpoint: parse(load.get_endpoint())?,
            running: load.get_running(),
            backlog_ms: f64::from(load.get_backlog_ms()),
        })
    });
    loads.collect()
}

pub(super) fn set_headers(mut to: capnp::struct_list::Builder<'_, wire::header::Owned>, headers: &Headers) {
    for (i, (name, value)) in (0..).zip(headers) {
        let mut to = to.reborrow().get(i);
        to.set_name(name.as_str());
        to.set_value(value);
    }
}

pub(super) fn headers(from: capnp::struct_list::Reader<'_, wire::header::Owned>) -> Result<Vec<(String, Bytes)>> {
    let headers = from.iter().map(|header| {
        let value = Bytes::copy_from_slice(header.get_value()?);
        Ok((text(header.get_name())?, value))
    });
    headers.collect()
}

pub(super) fn set_call(mut to: wire::call::Builder<'_>, call: &RelayCall) {
    to.set_method(call.method.as_str());
    to.set_target(call.target.as_str());
    to.set_left_ms(call.left.0);
    to.set_hops(call.hops);
    to.set_attempts(call.attempts);
    to.set_body(&call.body);
    set_headers(to.init_headers(len(&call.headers)), &call.headers);
}

pub(super) fn call(from: wire::call::Reader<'_>) -> Result<RelayCall> {
    Ok(RelayCall {
        method: text(from.get_method())?,
        target: text(from.get_target())?,
        headers: headers(from.get_headers()?)?,
        left: Millis(from.get_left_ms()),
        body: Bytes::copy_from_slice(from.get_body()?),
        hops: from.get_hops(),
        attempts: from.get_attempts(),
    })
}

pub(super) fn set_items(mut to: capnp::struct_list::Builder<'_, wire::item::Owned>, items: &[Item]) {
    for (i, item) in (0..).zip(items) {
        let mut to = to.reborrow().get(i);
        to.set_key(item.key.as_str());
        to.set_value(&item.value);
        to.set_revision(item.revision);
    }
}

pub(super) fn snapshot(revision: u64, items: capnp::struct_list::Reader<'_, wire::item::Owned>) -> Result<Snapshot> {
    let items = items.iter().map(|item| {
        Ok(Item {
            key: text(item.get_key())?,
            value: item.get_value()?.to_vec(),
            revision: item.get_revision(),
        })
    });
    Ok(Snapshot {
        revision,
        items: items.collect::<Result<_>>()?,
    })
}
