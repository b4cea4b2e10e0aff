/// Which upstreams may get requests, from what the platform lists of them.
#pragma once

#include "cardamomstream/process/deployment/deployment_types.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace cardamomstream {

/// Decisions on listed upstreams; no I/O. Not thread safe.
class upstream_registry {
public:
    explicit upstream_registry(std::map<data_centre_name, region_name> regions);

    /// An entry was written. `first_listing`: it was there when this process first read the list, so nothing
    /// says that it has just started.
    void apply(const upstream_record& record, bool first_listing, time_point now);

    /// An entry is gone. `after_outage`: the list was away shortly before, so the entry may have lapsed and
    /// is kept for `lapse_grace`.
    void remove(const upstream_name& id, bool after_outage, time_point now);

    /// All entries that are in the list; what is missing is removed.
    void retain_listed(const std::set<upstream_name>& listed, bool after_outage, time_point now);

    /// False when the data centre was evacuated already.
    bool evacuate(const data_centre_name& data_centre, time_point now);
    /// False when it was open.
    bool end_evacuation(const data_centre_name& data_centre, time_point now);
    /// Ends every evacuation that is not listed and returns the data centres that it opened.
    std::vector<data_centre_name> retain_evacuations(const std::set<data_centre_name>& listed,
                                                     time_point now);
    const evacuations& evacuated() const noexcept { return m_evacuated; }

    /// Removes entries whose grace is over; true when something changed.
    bool expire(time_point now);

    /// The upstreams that may get requests. `plan` bounds the time for which a started upstream is cold.
    std::vector<upstream_view> usable(const service_plan* plan, time_point now) const;

    std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct entry {
        upstream_record record;
        time_point started_at;             ///< when this process saw it start; epoch: it ran before
        time_point cold_until;             ///< by its own word
        std::optional<time_point> gone_at; ///< set while it is missing from the list
    };

    time_point cold_until(const entry& one, const service_plan* plan) const;

    std::map<data_centre_name, region_name> m_regions;
    std::map<upstream_name, entry> m_entries;
    evacuations m_evacuated;
    std::map<data_centre_name, time_point> m_evacuation_ended;
};

} // namespace cardamomstream
