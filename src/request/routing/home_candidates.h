/// Selection among the upstreams of the home region.
#pragma once

#include "cardamomstream/request/routing_types.h"

#include "upstream_model.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace cardamomstream {

using upstream_models = std::map<upstream_name, upstream_model>;
using upstream_group = std::vector<upstream_models::value_type*>;

/// An upstream that may serve the request, with its predicted cost.
struct home_candidate {
    const upstream_name* name = nullptr;
    upstream_model* model = nullptr;
    token_count prefill_tokens = 0;
    token_count expected_cached_tokens = 0; ///< prompt tokens that the upstream may have cached
    route_cost cost;
    bool probe = false;
    bool last_resort = false; ///< chosen although suspected or already tried, as all candidates are
};

/// Finds the eligible upstream with the lowest predicted cost and records the reasons.
class home_candidates {
public:
    home_candidates(const router_settings& settings, const route_query& query, time_point now,
                    std::vector<route_note>& notes);

    /// The best of the given upstreams, which may be at its limit. Empty if none of them is live.
    std::optional<home_candidate> best(const upstream_group& upstreams, std::mt19937_64& random);

private:
    void collect(const upstream_group& upstreams);
    /// Removes upstreams of earlier attempts, unless that leaves none.
    void drop_tried();
    /// Removes suspected upstreams. If a probe is due, only its upstream remains; if all are suspected, the
    /// one whose last failure is the oldest.
    void drop_suspected();
    /// Removes upstreams at their limit, unless all are.
    void drop_full();
    void predict();
    /// Index of the candidate with the highest rendezvous hash for the prefix among those within their load
    /// bound.
    std::optional<std::size_t> preferred_by_prefix() const;
    std::size_t cheapest(std::mt19937_64& random) const;
    /// Load up to which prefix affinity may choose the candidate.
    double affinity_bound_of(const home_candidate& candidate) const;
    void note(route_reason reason, const std::string& subject, double value = 0);

    const router_settings& m_settings;
    const route_query& m_query;
    time_point m_now;
    std::vector<route_note>& m_notes;
    std::vector<home_candidate> m_candidates;
};

} // namespace cardamomstream
