#include "loan_broker.h"

#include <algorithm>
#include <vector>

#include <boost/fiber/fiber.hpp>

namespace cardamomstream {

namespace {

std::vector<loan_request> plan_loans(request_context& context, token_count charge)
{
    return context.parts.allowance.with_lock([&](allowance_book& book) {
        std::vector<loan_request> requests;
        while (auto request = book.plan_loan(context.customer, charge, boot_clock::now())) {
            requests.push_back(std::move(*request));
        }
        return requests;
    });
}

result<reservation> admit(request_context& context, token_count charge)
{
    return context.parts.allowance.with_lock(
        [&](allowance_book& book) { return book.admit(context.customer, charge, boot_clock::now()); });
}

void request_loans(request_context& context, const std::vector<loan_request>& requests,
                   std::chrono::milliseconds limit)
{
    std::vector<boost::fibers::fiber> pending;
    for (const auto& request : requests) {
        context.record(event_kind::loan_asked,
                       {{"lender", request.lender.str()}, {"tokens", request.needed}});
        pending.emplace_back([&context, &request, limit] {
            const bool lent = ask_for_loan(context.parts, request, limit);
            context.record(lent ? event_kind::loan_granted : event_kind::loan_refused,
                           {{"lender", request.lender.str()}});
        });
    }
    for (auto& loan_fiber : pending) {
        loan_fiber.join();
    }
}

} // namespace

bool ask_for_loan(serving_parts& parts, const loan_request& request, std::chrono::milliseconds limit)
{
    const auto view = parts.views.load();
    const auto lender = view->vms.find(request.lender);
    if (lender == view->vms.end()) {
        return false;
    }
    parts.counters.loans.increment(loan_step::asked);
    const auto answer = parts.peers.borrow({request.lender, lender->second.peer}, request, limit);
    if (!answer) {
        parts.counters.loans.increment(loan_step::refused);
        return false;
    }
    parts.allowance.with_lock([&](allowance_book& book) { book.accept(answer.value(), boot_clock::now()); });
    const bool lent = answer.value().lent.burst > 0 || answer.value().lent.level > 0;
    parts.counters.loans.increment(lent ? loan_step::granted : loan_step::refused);
    return lent;
}

result<reservation> admit_with_loans(request_context& context, token_count charge)
{
    const auto give_up_at = boot_clock::now() + context.parts.config.allowance.loan_wait;
    while (true) {
        auto admitted = admit(context, charge);
        if (admitted || admitted.error().kind != error_kind::allowance_exhausted) {
            return admitted;
        }
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(give_up_at - boot_clock::now());
        const auto requests = plan_loans(context, charge);
        if (requests.empty() || left <= std::chrono::milliseconds::zero()) {
            return admitted;
        }
        request_loans(context, requests, left);
    }
}

} // namespace cardamomstream
