#include "allowance_codec.h"

#include "field_codec.h"

namespace cardamomstream {

namespace {

wire::Share encode(const bucket_share& value)
{
    wire::Share to;
    to.set_rate(value.rate.per_second);
    to.set_burst(value.burst);
    to.set_level(value.level);
    return to;
}

result<bucket_share> decode(const wire::Share& from)
{
    bucket_share value;
    BOOST_OUTCOME_TRY(value.rate.per_second, decode_number(from.rate(), "rate"));
    BOOST_OUTCOME_TRY(value.burst, decode_number(from.burst(), "burst"));
    BOOST_OUTCOME_TRY(value.level, decode_number(from.level(), "level"));
    return value;
}

wire::LoanId encode(const loan_id& value)
{
    wire::LoanId to;
    to.set_borrower(value.borrower.str());
    to.set_process(value.borrower_process.value);
    to.set_number(value.number);
    return to;
}

loan_id decode(const wire::LoanId& from)
{
    return {vm_name{from.borrower()}, incarnation{from.process()}, from.number()};
}

wire::HeldLoan encode(const held_loan& value)
{
    wire::HeldLoan to;
    *to.mutable_id() = encode(value.id);
    to.set_customer(value.customer.str());
    *to.mutable_share() = encode(value.share);
    to.set_rate_left_ms(value.rate_left.count());
    to.set_burst_left_ms(value.burst_left.count());
    return to;
}

result<held_loan> decode(const wire::HeldLoan& from)
{
    held_loan value;
    value.id = decode(from.id());
    value.customer = customer_name{from.customer()};
    BOOST_OUTCOME_TRY(value.share, decode(from.share()));
    value.rate_left = decode_duration(from.rate_left_ms());
    value.burst_left = decode_duration(from.burst_left_ms());
    return value;
}

} // namespace

wire::LoanRequest encode(const loan_request& value)
{
    wire::LoanRequest to;
    *to.mutable_id() = encode(value.id);
    to.set_lender(value.lender.str());
    to.set_customer(value.customer.str());
    *to.mutable_wanted() = encode(value.wanted);
    to.set_needed(value.needed);
    to.set_duration_ms(value.duration.count());
    return to;
}

result<loan_request> decode(const wire::LoanRequest& from)
{
    loan_request value;
    value.id = decode(from.id());
    value.lender = vm_name{from.lender()};
    value.customer = customer_name{from.customer()};
    BOOST_OUTCOME_TRY(value.wanted, decode(from.wanted()));
    value.needed = from.needed();
    value.duration = decode_duration(from.duration_ms());
    return value;
}

wire::LoanAnswer encode(const loan_answer& value)
{
    wire::LoanAnswer to;
    *to.mutable_id() = encode(value.id);
    to.set_lender(value.lender.str());
    to.set_customer(value.customer.str());
    *to.mutable_lent() = encode(value.lent);
    to.set_duration_ms(value.duration.count());
    return to;
}

result<loan_answer> decode(const wire::LoanAnswer& from)
{
    loan_answer value;
    value.id = decode(from.id());
    value.lender = vm_name{from.lender()};
    value.customer = customer_name{from.customer()};
    BOOST_OUTCOME_TRY(value.lent, decode(from.lent()));
    value.duration = decode_duration(from.duration_ms());
    return value;
}

wire::LoanReturn encode(const loan_return& value)
{
    wire::LoanReturn to;
    *to.mutable_id() = encode(value.id);
    to.set_lender(value.lender.str());
    to.set_customer(value.customer.str());
    to.set_burst_kept(value.burst_kept);
    to.set_level(value.level);
    to.set_unused(value.unused);
    return to;
}

result<loan_return> decode(const wire::LoanReturn& from)
{
    loan_return value;
    value.id = decode(from.id());
    value.lender = vm_name{from.lender()};
    value.customer = customer_name{from.customer()};
    BOOST_OUTCOME_TRY(value.burst_kept, decode_number(from.burst_kept(), "burst_kept"));
    BOOST_OUTCOME_TRY(value.level, decode_number(from.level(), "level"));
    value.unused = from.unused();
    return value;
}

wire::RestartQuery encode(const restart_query& value)
{
    wire::RestartQuery to;
    to.set_vm(value.vm.str());
    to.set_process(value.process.value);
    return to;
}

result<restart_query> decode(const wire::RestartQuery& from)
{
    return restart_query{vm_name{from.vm()}, incarnation{from.process()}};
}

wire::RestartAnswer encode(const restart_answer& value)
{
    wire::RestartAnswer to;
    to.set_from(value.from.str());
    to.set_to(value.to.str());
    to.set_to_process(value.to_process.value);
    for (const auto& loan : value.held) {
        *to.add_held() = encode(loan);
    }
    return to;
}

result<restart_answer> decode(const wire::RestartAnswer& from)
{
    restart_answer value;
    value.from = vm_name{from.from()};
    value.to = vm_name{from.to()};
    value.to_process = incarnation{from.to_process()};
    for (const auto& loan : from.held()) {
        BOOST_OUTCOME_TRY(auto decoded, decode(loan));
        value.held.push_back(std::move(decoded));
    }
    return value;
}

} // namespace cardamomstream
