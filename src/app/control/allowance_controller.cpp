#include "allowance_controller.h"

#include "cardamomstream/request/loan_exchange.h"

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds call_limit{1'000};
constexpr std::chrono::milliseconds restart_query_interval{500};
constexpr std::size_t max_loans_ahead = 16;

} // namespace

void apply_versions(control_state& state)
{
    const auto rules = state.versions.value();
    if (!rules) {
        return;
    }
    const auto now = boot_clock::now();
    applied_versions others;
    for (const auto& [vm, applied] : state.members.applied_versions(now)) {
        if (vm != state.parts.config.vm) {
            others.seen[vm] = applied.version;
        }
    }
    if (state.list) {
        for (const auto& [vm, known] : state.members.members()) {
            others.listed.insert(vm);
        }
    }
    else {
        for (const auto& [vm, slot] : rules->vms) {
            others.listed.insert(vm);
        }
    }
    state.parts.allowance.with_lock([&](allowance_book& book) { book.apply(rules, others, now); });
}

void allowance_controller::tick()
{
    apply_versions(m_state);
    m_state.parts.allowance.with_lock([](allowance_book& book) { book.advance(boot_clock::now()); });
    borrow_ahead();
    send_returns();
    ask_after_restart();
}

void allowance_controller::borrow_ahead()
{
    const auto requests = m_state.parts.allowance.with_lock(
        [](allowance_book& book) { return book.plan_loans_ahead(max_loans_ahead, boot_clock::now()); });
    for (const auto& request : requests) {
        m_state.thread.spawn([this, request] { (void)ask_for_loan(m_state.parts, request, call_limit); });
    }
}

void allowance_controller::send_returns()
{
    const auto returns =
        m_state.parts.allowance.with_lock([](allowance_book& book) { return book.take_returns(); });
    for (const auto& value : returns) {
        const auto* lender = m_state.members.find(value.lender);
        if (lender == nullptr) {
            continue;
        }
        m_state.parts.counters.loans.increment(loan_step::ended);
        m_state.thread.spawn([this, value, peer = peer_address{value.lender, lender->peer}] {
            (void)m_state.parts.peers.return_loan(peer, value, call_limit);
        });
    }
}

void allowance_controller::ask_after_restart()
{
    const auto now = boot_clock::now();
    const auto query =
        m_state.parts.allowance.with_lock([](allowance_book& book) -> std::optional<restart_query> {
            return book.restarting() ? std::optional(book.make_restart_query()) : std::nullopt;
        });
    if (!query || now < m_next_restart_query) {
        return;
    }
    m_next_restart_query = now + restart_query_interval;
    for (const auto& [vm, known] : m_state.members.members()) {
        if (vm == m_state.parts.config.vm || known.state == member_state::gone ||
            m_answered_restart.contains(vm)) {
            continue;
        }
        m_state.thread.spawn([this, query = *query, peer = peer_address{vm, known.peer}] {
            const auto answer = m_state.parts.peers.ask_restart(peer, query, call_limit);
            if (answer) {
                m_answered_restart.insert(peer.vm);
                m_state.parts.allowance.with_lock(
                    [&](allowance_book& book) { book.accept(answer.value(), boot_clock::now()); });
            }
        });
    }
}

} // namespace cardamomstream
