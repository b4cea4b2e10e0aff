#include "cardamomstream/process/deployment/upstream_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamomstream {

namespace {

/// Entries that expired while the list was unavailable are written again within about two seconds of its
/// return.
constexpr std::chrono::milliseconds expiry_grace{2'200};

/// An upstream is treated as cold for a little longer than it reports, because its entry arrives with the
/// store's delay.
constexpr std::chrono::milliseconds cold_margin{500};

constexpr std::chrono::seconds refusal_log_interval{60};

constexpr std::size_t max_refusals_logged = 1'000; ///< within the interval

/// The entry of an upstream that has ended expires sooner.
constexpr std::chrono::seconds doubt_time{6};

/// Longer than the age of a copy from which the store is restored.
constexpr std::chrono::seconds departure_memory{120};

} // namespace

upstream_registry::upstream_registry(std::map<data_centre_name, region_name> regions)
    : m_regions(std::move(regions))
{
}

void upstream_registry::apply(const upstream_record& record, bool first_listing, time_point now)
{
    auto [found, is_new] = m_entries.try_emplace(record.id);
    auto& entry = found->second;
    const bool restarted = !is_new && record.started_unix_ms != entry.record.started_unix_ms;
    if ((is_new && !first_listing) || restarted) {
        entry.started_at = now;
    }
    if (record.cold_left > std::chrono::milliseconds::zero()) {
        entry.reported_cold_until = now + record.cold_left + cold_margin;
    }
    entry.record = record;
    entry.readable = true;
    entry.gone_at.reset();
    m_doubted.erase(record.id);
}

bool upstream_registry::apply_restored(const upstream_record& record, time_point now)
{
    if (const auto known = m_entries.find(record.id); known != m_entries.end()) {
        const auto& entry = known->second.record;
        if (entry.leaving && !record.leaving && entry.started_unix_ms == record.started_unix_ms) {
            known->second.gone_at.reset();
            return false;
        }
    }
    else if (const auto left = m_departures.find(record.id);
             left != m_departures.end() && left->second.started_unix_ms == record.started_unix_ms) {
        m_doubted.insert_or_assign(record.id, doubted_entry{record, now});
        return false;
    }
    apply(record, false, now);
    return true;
}

void upstream_registry::depart(std::map<upstream_name, upstream_entry>::iterator entry, time_point now)
{
    m_departures.insert_or_assign(entry->first, departure{entry->second.record.started_unix_ms, now});
    m_entries.erase(entry);
}

bool upstream_registry::refuse(const upstream_name& id, time_point now)
{
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        found->second.readable = false;
        found->second.gone_at.reset();
    }
    std::erase_if(m_refusals_logged,
                  [&](const auto& logged) { return now - logged.second >= refusal_log_interval; });
    return m_refusals_logged.size() < max_refusals_logged && m_refusals_logged.emplace(id, now).second;
}

void upstream_registry::remove(const upstream_name& id, bool after_outage, time_point now)
{
    m_doubted.erase(id);
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    if (!after_outage || found->second.record.leaving) {
        depart(found, now);
        return;
    }
    if (!found->second.gone_at) {
        found->second.gone_at = now;
    }
}

void upstream_registry::retain_listed(const std::set<upstream_name>& listed, bool after_outage,
                                      time_point now)
{
    std::erase_if(m_doubted, [&](const auto& doubted) { return !listed.contains(doubted.first); });
    std::vector<upstream_name> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        remove(id, after_outage, now);
    }
}

bool upstream_registry::evacuate(const data_centre_name& data_centre, time_point now)
{
    m_evacuation_missing.erase(data_centre);
    return m_evacuated.emplace(data_centre, now).second;
}

bool upstream_registry::end_evacuation(const data_centre_name& data_centre, time_point now)
{
    m_evacuation_missing.erase(data_centre);
    if (m_evacuated.erase(data_centre) == 0) {
        return false;
    }
    m_evacuation_ended[data_centre] = now;
    return true;
}

std::vector<data_centre_name> upstream_registry::end_evacuations(std::vector<data_centre_name> data_centres,
                                                                 time_point now)
{
    for (const auto& data_centre : data_centres) {
        end_evacuation(data_centre, now);
    }
    return data_centres;
}

std::vector<data_centre_name> upstream_registry::retain_evacuations(const std::set<data_centre_name>& listed,
                                                                    bool after_outage, time_point now)
{
    std::vector<data_centre_name> opened;
    for (const auto& [data_centre, since] : m_evacuated) {
        if (listed.contains(data_centre)) {
            continue;
        }
        if (after_outage) {
            m_evacuation_missing.emplace(data_centre, now);
        }
        else {
            opened.push_back(data_centre);
        }
    }
    return end_evacuations(std::move(opened), now);
}

std::vector<data_centre_name> upstream_registry::expire_evacuations(time_point now)
{
    std::vector<data_centre_name> opened;
    for (const auto& [data_centre, missing_since] : m_evacuation_missing) {
        if (now - missing_since >= expiry_grace) {
            opened.push_back(data_centre);
        }
    }
    return end_evacuations(std::move(opened), now);
}

bool upstream_registry::expire(time_point now)
{
    bool changed = false;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        if (entry->second.gone_at && now - *entry->second.gone_at >= expiry_grace) {
            depart(entry, now);
            changed = true;
        }
        entry = next;
    }
    std::vector<upstream_record> believed;
    for (const auto& [id, doubted] : m_doubted) {
        if (now - doubted.since >= doubt_time) {
            believed.push_back(doubted.record);
        }
    }
    for (const auto& record : believed) {
        apply(record, false, now);
        changed = true;
    }
    std::erase_if(m_departures, [&](const auto& item) { return now - item.second.at >= departure_memory; });
    return changed;
}

time_point upstream_registry::cold_until(const upstream_entry& entry, const service_plan* plan) const
{
    const auto* service = plan == nullptr ? nullptr : plan->find_service(entry.record.service);
    const auto cold_time = service == nullptr ? std::chrono::milliseconds{0} : service->cold_time;
    auto until = entry.reported_cold_until;
    if (entry.started_at != time_point{}) {
        until = std::max(until, entry.started_at + cold_time + cold_margin);
    }
    // The upstreams of an evacuated data centre may return cold without reporting it.
    const auto ended = m_evacuation_ended.find(entry.record.data_centre);
    if (ended != m_evacuation_ended.end()) {
        until = std::max(until, ended->second + cold_time + cold_margin);
    }
    return until;
}

std::vector<upstream_view> upstream_registry::usable(const service_plan* plan, time_point /*now*/) const
{
    std::vector<upstream_view> views;
    for (const auto& [id, entry] : m_entries) {
        const auto region = m_regions.find(entry.record.data_centre);
        if (!entry.readable || entry.record.leaving || m_evacuated.contains(entry.record.data_centre) ||
            region == m_regions.end()) {
            continue;
        }
        views.push_back({entry.record, region->second, cold_until(entry, plan)});
    }
    return views;
}

service_versions upstream_registry::versions() const
{
    service_versions versions;
    for (const auto& [id, entry] : m_entries) {
        versions[entry.record.service].insert(entry.record.version);
    }
    return versions;
}

} // namespace cardamomstream
