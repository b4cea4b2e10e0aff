/// Choice among the upstreams of the home region.
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

/// An upstream that may serve the request, with its prediction.
struct home_candidate {
    const upstream_name* name = nullptr;
    upstream_model* model = nullptr;
    token_count prefill_tokens = 0;
    token_count credited_tokens = 0; ///< hoped to be cached
    route_cost cost;
    bool probe = false;
    bool last_resort = false; ///< every candidate is suspected or was tried
};

/// Finds the cheapest fit upstream of the home region and notes why.
class home_candidates {
public:
    home_candidates(const router_settings& settings, const route_query& query, time_point now,
                    std::vector<route_note>& notes);

    /// The best of the pool's upstreams at home, at its limit or not; nothing where none is live.
    std::optional<home_candidate> best(const upstream_group& upstreams, std::mt19937_64& random);

private:
    void collect(const upstream_group& upstreams);
    void drop_tried();
    /// Leaves suspected upstreams out, but for a due probe, and never all of them.
    void drop_suspected();
    void drop_full();
    void predict();
    std::optional<std::size_t> preferred_by_prefix() const;
    std::size_t cheapest(std::mt19937_64& random) const;
    double bound_for(const home_candidate& candidate) const;
    void note(route_reason reason, const std::string& subject, double value = 0);

    const router_settings& m_settings;
    const route_query& m_query;
    time_point m_now;
    std::vector<route_note>& m_notes;
    std::vector<home_candidate> m_candidates;
};

} // namespace cardamomstream
