/// Which peer to ask for a loan of one customer's allowance, and what is still on its way.
#pragma once

#include "cardamomstream/process/allowance_types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstream {

/// A VM that could lend: what the roster lets expect of it.
struct lender_candidate {
    vm_name vm;
    bucket_share estimate;
    bool same_region = false;
};

/// A request for a loan without an answer yet.
struct pending_loan {
    std::uint64_t number = 0;
    vm_name lender;
    bucket_share expected;
    time_point sent;
    std::chrono::milliseconds duration{0};
};

class loan_planner {
public:
    /// The lender expected to give most of `wanted`, and what it is expected to give. Peers that have told of
    /// their spare allowance go before those that are only known from the roster.
    std::optional<lender_candidate> choose(const std::vector<lender_candidate>& roster,
                                           const bucket_share& wanted, time_point now) const;

    void add_pending(pending_loan loan) { m_pending.push_back(std::move(loan)); }
    std::optional<pending_loan> take_pending(std::uint64_t number, const vm_name& lender);
    /// Gives up the requests sent before `sent_before`, and the requests to `lender`.
    std::vector<pending_loan> remove_sent_before(time_point sent_before);
    void remove_pending_from(const vm_name& lender);
    bucket_share expected_sum() const;
    std::size_t pending() const { return m_pending.size(); }

    /// Remembers what a peer could lend; at most `max_peers` peers are known.
    void record_spare(const vm_name& peer, const bucket_share& spare, time_point now, std::size_t max_peers);
    /// Does not ask the peer again before `until`.
    void back_off_from(const vm_name& peer, time_point now, time_point until, std::size_t max_peers);

private:
    struct peer_record {
        vm_name vm;
        bucket_share spare;
        time_point updated;
        time_point ask_again_at;
    };
    peer_record& find_or_add_peer(const vm_name& vm, time_point now, std::size_t max_peers);
    const peer_record* find_peer(const vm_name& vm) const;
    bool is_pending(const vm_name& vm) const;

    std::vector<peer_record> m_peers;
    std::vector<pending_loan> m_pending;
};

} // namespace cardamomstream
