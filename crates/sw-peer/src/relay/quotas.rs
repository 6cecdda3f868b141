//! Conversion of the calls about quotas.

use sw_relay::{Borrower, LoanReply, QuotaLoan, QuotaReply, QuotaTake};
use sw_unit::{Millis, Rate, Tokens};

use super::convert::{Result, millis};
use crate::convert::{len, parse};
use crate::relay_capnp::{quota_loan, quota_take, relay_peer};

pub(super) fn set_take(mut to: quota_take::Builder<'_>, take: &QuotaTake) {
    to.set_workspace(take.workspace.as_str());
    to.set_needed(take.needed.0);
    to.set_wanted(take.wanted.0);
    to.set_returned(take.returned.0);
    to.set_vm(take.from.as_str());
    to.set_refused(take.refused.0);
}

pub(super) fn take(from: quota_take::Reader<'_>) -> Result<QuotaTake> {
    Ok(QuotaTake {
        workspace: parse(from.get_workspace())?,
        from: parse(from.get_vm())?,
        needed: Tokens(from.get_needed()),
        wanted: Tokens(from.get_wanted()),
        returned: Tokens(from.get_returned()),
        refused: Tokens(from.get_refused()),
    })
}

pub(super) fn set_reply(mut to: relay_peer::take_quota_results::Builder<'_>, reply: QuotaReply) {
    to.set_granted(reply.granted.0);
    to.set_wait_ms(millis(reply.wait));
    to.set_keeps(reply.keeps);
}

pub(super) fn reply(from: relay_peer::take_quota_results::Reader<'_>) -> QuotaReply {
    QuotaReply {
        granted: Tokens(from.get_granted()),
        wait: Millis(u64::from(from.get_wait_ms())),
        keeps: from.get_keeps(),
    }
}

pub(super) fn set_borrower(to: &mut relay_peer::lend_quota_params::Builder<'_>, borrower: &Borrower) {
    to.set_region(borrower.region.as_str());
    to.set_vm(borrower.vm.as_str());
    to.set_sequence(borrower.sequence);
}

pub(super) fn borrower(from: relay_peer::lend_quota_params::Reader<'_>) -> Result<Borrower> {
    Ok(Borrower {
        region: parse(from.get_region())?,
        vm: parse(from.get_vm())?,
        sequence: from.get_sequence(),
    })
}

pub(super) fn set_loans(mut to: capnp::struct_list::Builder<'_, quota_loan::Owned>, loans: &[QuotaLoan]) {
    for (i, loan) in (0..).zip(loans) {
        let mut to = to.reborrow().get(i);
        to.set_workspace(loan.workspace.as_str());
        to.set_rate(loan.rate.0);
        to.set_burst(loan.burst.0);
        to.set_lasts_ms(millis(loan.lasts));
    }
}

pub(super) fn loans(from: capnp::struct_list::Reader<'_, quota_loan::Owned>) -> Result<Vec<QuotaLoan>> {
    from.iter().map(loan).collect()
}

pub(super) fn set_loan_reply(mut to: relay_peer::lend_quota_results::Builder<'_>, reply: &LoanReply) {
    set_loans(to.reborrow().init_lent(len(&reply.lent)), &reply.lent);
    set_loans(to.init_held(len(&reply.held)), &reply.held);
}

pub(super) fn loan_reply(from: relay_peer::lend_quota_results::Reader<'_>) -> Result<LoanReply> {
    Ok(LoanReply {
        lent: loans(from.get_lent()?)?,
        held: loans(from.get_held()?)?,
    })
}

fn loan(from: quota_loan::Reader<'_>) -> Result<QuotaLoan> {
    let rate = from.get_rate();
    if !rate.is_finite() || rate < 0.0 {
        return Err(capnp::Error::failed("the rate of a loan is not a number".to_owned()));
    }
    Ok(QuotaLoan {
        workspace: parse(from.get_workspace())?,
        rate: Rate(rate),
        burst: Tokens(from.get_burst()),
        lasts: Millis(u64::from(from.get_lasts_ms())),
    })
}
