/// Tracks the upstreams that the platform lists, and decides which of them may get requests.
#pragma once

#include "cardamomstream/process/deployment/deployment_types.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace cardamomstream {

/// Tracks listed upstreams and evacuated data centres. No I/O; not thread-safe.
class upstream_registry {
public:
    explicit upstream_registry(std::map<data_centre_name, region_name> regions);

    /// Adds or updates an entry. `first_listing`: the entry was in the first list that this process read,
    /// so the upstream is not assumed to have just started.
    void apply(const upstream_record& record, bool first_listing, time_point now);

    /// Applies an entry of the first listing after the store was restored from an older copy. An upstream
    /// that was leaving stays so, and one that had left is not used again until its entry is written anew, or
    /// has been listed for longer than an entry of an upstream that has ended. Returns false if it isn't
    /// used.
    bool apply_restored(const upstream_record& record, time_point now);

    /// The entry of an upstream can't be read. It gets no requests until its entry can be read again; what is
    /// known of it stays, so that it isn't taken for one that has just started. Returns true when this is to
    /// be logged: once in `refusal_log_interval` for each entry, however often it is written.
    bool refuse(const upstream_name& id, time_point now);

    /// Removes an entry. `after_outage`: the list was unavailable shortly before, so the entry may merely
    /// have expired and is kept for `expiry_grace`.
    void remove(const upstream_name& id, bool after_outage, time_point now);

    /// Removes the entries that are not in `listed`; `after_outage` as for `remove`.
    void retain_listed(const std::set<upstream_name>& listed, bool after_outage, time_point now);

    /// Returns false if the data centre was evacuated already.
    bool evacuate(const data_centre_name& data_centre, time_point now);
    /// Returns false if it was not evacuated.
    bool end_evacuation(const data_centre_name& data_centre, time_point now);
    /// Ends every evacuation that is not in `listed` and returns the data centres concerned. `after_outage`:
    /// their entries may be written again; they are kept for `expiry_grace`.
    std::vector<data_centre_name> retain_evacuations(const std::set<data_centre_name>& listed,
                                                     bool after_outage, time_point now);

    /// Ends the evacuations whose grace time is over and returns the data centres concerned.
    std::vector<data_centre_name> expire_evacuations(time_point now);
    const evacuations& evacuated() const noexcept { return m_evacuated; }

    /// Removes entries whose grace time is over, and uses those that were doubted for long enough. Returns
    /// true if there were any.
    bool expire(time_point now);

    /// Returns the upstreams that may get requests. `plan` gives the time for which an upstream is cold
    /// after its start.
    std::vector<upstream_view> usable(const service_plan* plan, time_point now) const;

    /// Software versions of all listed upstreams, those included that get no requests.
    service_versions versions() const;

    std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct upstream_entry {
        upstream_record record;
        time_point started_at;             ///< when this process saw it start; epoch: it was running before
        time_point reported_cold_until;    ///< as the upstream itself reports
        std::optional<time_point> gone_at; ///< set while it is missing from the list
        bool readable = true;              ///< false: `record` is the last one that could be read
    };

    /// An upstream that is no longer listed.
    struct departure {
        std::int64_t started_unix_ms = 0;
        time_point at;
    };
    /// An entry of an older copy of the store that is not used.
    struct doubted_entry {
        upstream_record record;
        time_point since;
    };

    std::vector<data_centre_name> end_evacuations(std::vector<data_centre_name> data_centres, time_point now);
    void depart(std::map<upstream_name, upstream_entry>::iterator entry, time_point now);
    time_point cold_until(const upstream_entry& entry, const service_plan* plan) const;

    std::map<data_centre_name, region_name> m_regions;
    std::map<upstream_name, upstream_entry> m_entries;
    std::map<upstream_name, time_point> m_refusals_logged;
    evacuations m_evacuated;
    std::map<data_centre_name, time_point> m_evacuation_ended;
    std::map<data_centre_name, time_point> m_evacuation_missing; ///< since a store's restoration
    std::map<upstream_name, departure> m_departures;
    std::map<upstream_name, doubted_entry> m_doubted;
};

} // namespace cardamomstream
