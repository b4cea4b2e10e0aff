/// Chooses the peer to request a loan of one customer's allowance from, and tracks the unanswered requests.
#pragma once

#include "cardamomstream/process/allowance_types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstream {

/// A possible lender and an estimate of what it could lend.
struct lender_candidate {
    vm_name vm;
    bucket_share estimate;
    bool same_region = false;
};

/// A loan request that has not been answered yet.
struct pending_loan {
    std::uint64_t number = 0;
    vm_name lender;
    bucket_share expected;
    time_point sent;
    std::chrono::milliseconds duration{0};
};

class loan_planner {
public:
    /// The lender expected to grant most of `wanted`, with `estimate` set to what it is expected to grant.
    /// Peers that have reported their spare allowance are preferred to those known only from the roster.
    std::optional<lender_candidate> choose(const std::vector<lender_candidate>& roster,
                                           const bucket_share& wanted, time_point now) const;

    void add_pending(pending_loan loan) { m_pending.push_back(std::move(loan)); }
    std::optional<pending_loan> take_pending(std::uint64_t number, const vm_name& lender);
    /// Removes and returns the requests sent before `sent_before`.
    std::vector<pending_loan> remove_sent_before(time_point sent_before);
    /// Removes the unanswered requests to `lender`.
    void remove_pending_from(const vm_name& lender);
    /// Sum of what the unanswered requests are expected to bring.
    bucket_share expected_sum() const;
    std::size_t pending() const { return m_pending.size(); }

    /// Stores what a peer could lend. At most `max_peers` peers are stored; a further one replaces the entry
    /// that was updated longest ago.
    void record_spare(const vm_name& peer, const bucket_share& spare, time_point now, std::size_t max_peers);
    /// Does not choose the peer again before `until`.
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
