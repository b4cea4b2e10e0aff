#include "cardamomstream/request/quarantine/prompt_quarantine.h"

#include "cardamomstream/core/endpoint_hash.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace cardamomstream {

namespace {

/// A part that was answered this long before a request with it was sent isn't suspected because of that
/// request. Longer, and a part that begins to crash upstreams after a release would go unnoticed.
constexpr std::chrono::seconds success_validity{10};

/// Largest error of the times in a report: delays on the way, and of a busy receiver.
constexpr std::chrono::milliseconds report_time_error{300};

/// A trial that another VM has not reported for this long has ended, or its VM has.
constexpr std::chrono::milliseconds trial_report_ttl{2'000};
constexpr std::chrono::milliseconds trial_retry_after{1'000}; ///< while a trial runs in the fleet

constexpr std::size_t max_crashes_per_part = 8; ///< with more, the quarantine has its longest time
constexpr std::chrono::minutes single_crash_ttl{10};

constexpr std::size_t max_successes = 8'192;
constexpr std::chrono::seconds success_report_time{10};

/// Bounds on one report. What has changed lately is in each report, the rest in some of them.
constexpr std::size_t max_reported_successes = 64;
constexpr std::size_t max_reported_trials = 32;
constexpr std::chrono::seconds recent_change{5};
constexpr std::uint64_t reports_per_full_report = 5;

std::uint64_t weight(std::uint64_t part, std::uint64_t vm)
{
    return XXH3_64bits_withSeed(&vm, sizeof vm, part);
}

std::chrono::milliseconds age_at(time_point now, time_point then)
{
    return std::max(std::chrono::floor<std::chrono::milliseconds>(now - then), std::chrono::milliseconds{0});
}

} // namespace

quarantine_settings whole_request_quarantine()
{
    using namespace std::chrono_literals;
    quarantine_settings settings;
    settings.subject = crash_subject::request;
    settings.first_quarantine = 10min;
    settings.growth = 6;
    settings.max_quarantine = 24h;
    settings.crash_ttl = 48h;
    settings.max_reported_crashes = 48;
    return settings;
}

prompt_quarantine::prompt_quarantine(const endpoint& self, quarantine_settings settings)
    : m_self(shared_hash(self))
    , m_settings(settings)
{
}

std::chrono::milliseconds prompt_quarantine::quarantine_time(std::size_t crashes) const
{
    auto time = m_settings.first_quarantine;
    for (auto more = crashes - crashes_until_quarantine; more > 0 && time < m_settings.max_quarantine;
         --more) {
        time *= m_settings.growth;
    }
    return std::min(time, m_settings.max_quarantine);
}

quarantine_decision prompt_quarantine::check(const shared_part_ids& parts, bool passed_on,
                                             time_point now) const
{
    quarantine_decision decision;
    if (m_suspects.empty()) {
        return decision;
    }
    for (const auto part : parts) {
        const auto known = m_suspects.find(part);
        if (known == m_suspects.end() || known->second.independent < crashes_until_trial) {
            continue;
        }
        const auto left = next_trial_at(known->second) - now;
        bool trial_runs = m_own_trials.contains(part);
        if (const auto others = m_other_trials.find(part); others != m_other_trials.end() && !passed_on) {
            trial_runs = trial_runs ||
                         std::any_of(others->second.begin(), others->second.end(), [&](const auto& other) {
                             return now - other.reported_at < trial_report_ttl;
                         });
        }
        if (left > boot_clock::duration::zero() || trial_runs) {
            decision.verdict = quarantine_verdict::refused;
            decision.retry_after = std::max({decision.retry_after, trial_retry_after,
                                             std::chrono::ceil<std::chrono::milliseconds>(left)});
        }
        decision.verdict =
            std::max(decision.verdict, passed_on ? quarantine_verdict::allowed : quarantine_verdict::trial);
    }
    return decision;
}

time_point prompt_quarantine::next_trial_at(const suspect& known) const
{
    const auto last = known.crashes.back().ended_at;
    return known.independent < crashes_until_quarantine ? last : last + quarantine_time(known.independent);
}

bool prompt_quarantine::goes_first(std::uint64_t part, const known_trial& other,
                                   time_point announced_at) const
{
    if (other.announced_at < announced_at - report_time_error ||
        other.announced_at > announced_at + report_time_error) {
        return other.announced_at < announced_at;
    }
    return weight(part, other.vm) > weight(part, m_self);
}

prompt_quarantine::trial::trial(prompt_quarantine& owner, const shared_part_ids& parts, time_point now)
    : m_owner(owner)
    , m_announced_at(now)
{
    for (const auto part : parts) {
        const auto known = owner.m_suspects.find(part);
        if (known != owner.m_suspects.end() && known->second.independent >= crashes_until_trial &&
            owner.m_own_trials.emplace(part, now).second) {
            m_parts.push_back(part);
            owner.m_early_report_due = true;
        }
    }
}

prompt_quarantine::trial::~trial()
{
    for (const auto part : m_parts) {
        m_owner.m_own_trials.erase(part);
    }
}

bool prompt_quarantine::trial::may_begin(time_point now) const
{
    return std::all_of(m_parts.begin(), m_parts.end(), [&](std::uint64_t part) {
        const auto known = m_owner.m_suspects.find(part);
        if (known != m_owner.m_suspects.end() && m_owner.next_trial_at(known->second) > now) {
            return false;
        }
        const auto others = m_owner.m_other_trials.find(part);
        return others == m_owner.m_other_trials.end() ||
               std::none_of(others->second.begin(), others->second.end(), [&](const known_trial& other) {
                   return now - other.reported_at < trial_report_ttl &&
                          m_owner.goes_first(part, other, m_announced_at);
               });
    });
}

std::vector<std::size_t> prompt_quarantine::independent_of(const std::vector<crash>& crashes)
{
    std::vector<std::size_t> independent;
    for (std::size_t at = 0; at < crashes.size(); ++at) {
        const auto& next = crashes[at];
        if (!independent.empty()) {
            const auto& last = crashes[independent.back()];
            const bool same_clock = last.observer == next.observer;
            const auto margin = same_clock ? std::chrono::milliseconds{0} : report_time_error;
            if (next.sent_at < last.ended_at + margin) {
                continue;
            }
        }
        independent.push_back(at);
    }
    return independent;
}

std::size_t prompt_quarantine::count_independent(const std::vector<crash>& crashes)
{
    const auto independent = independent_of(crashes);
    const auto certain =
        static_cast<std::size_t>(std::count_if(independent.begin(), independent.end(),
                                               [&](std::size_t at) { return crashes[at].broken_send == 0; }));
    return std::max(certain, independent.size() - std::min(independent.size(), uncertain_ends_ignored));
}

void prompt_quarantine::limit_crashes(std::vector<crash>& crashes)
{
    if (crashes.size() <= max_crashes_per_part) {
        return;
    }
    // Drops the oldest end that doesn't count, or the oldest of all.
    const auto independent = independent_of(crashes);
    std::size_t dropped = 0;
    while (dropped < independent.size() && independent[dropped] == dropped) {
        ++dropped;
    }
    crashes.erase(crashes.begin() + static_cast<std::ptrdiff_t>(dropped < crashes.size() ? dropped : 0));
}

bool prompt_quarantine::is_voided(std::uint64_t part, const crash& seen) const
{
    const auto answered = m_successes.find(part);
    return answered != m_successes.end() && seen.sent_at < answered->second + success_validity;
}

void prompt_quarantine::add_crash(std::uint64_t part, crash added, time_point now,
                                  std::vector<quarantine_change>& changes)
{
    auto& known = m_suspects[part];
    const auto same = std::find_if(known.crashes.begin(), known.crashes.end(), [&](const crash& other) {
        return other.upstream == added.upstream && other.started_unix_ms == added.started_unix_ms &&
               other.broken_send == added.broken_send;
    });
    if (same != known.crashes.end()) {
        // A report's times are late, never early.
        if (added.ended_at >= same->ended_at) {
            return;
        }
        known.crashes.erase(same);
    }
    const auto before = known.independent;
    const auto ends_before = independent_of(known.crashes).size();
    known.crashes.insert(
        std::upper_bound(known.crashes.begin(), known.crashes.end(), added,
                         [](const crash& one, const crash& other) { return one.ended_at < other.ended_at; }),
        added);
    limit_crashes(known.crashes);
    known.independent = count_independent(known.crashes);
    const bool more = known.independent > before;
    // Ends that don't count yet are reported as well: with those that other VMs see they may.
    if (more || independent_of(known.crashes).size() > ends_before) {
        known.changed_at = now;
        m_early_report_due = m_early_report_due || added.observer == m_self;
    }
    if (more && known.independent >= crashes_until_quarantine) {
        changes.push_back({m_settings.subject, part, true, known.independent});
    }
}

std::vector<quarantine_change> prompt_quarantine::record_crash(const shared_part_ids& parts,
                                                               const upstream_name& upstream,
                                                               std::int64_t started_unix_ms,
                                                               time_point sent_at, time_point now,
                                                               std::uint64_t broken_send)
{
    std::vector<quarantine_change> changes;
    expire(now);
    for (const auto part : parts) {
        const crash seen{upstream, started_unix_ms, sent_at, now, m_self, broken_send};
        if (!is_voided(part, seen)) {
            limit_suspects(now);
            add_crash(part, seen, now, changes);
        }
    }
    return changes;
}

std::vector<quarantine_change> prompt_quarantine::record_success(const shared_part_ids& parts, time_point now)
{
    std::vector<quarantine_change> changes;
    if (m_successes.size() > max_successes) {
        std::erase_if(m_successes, [&](const auto& known) { return now - known.second > success_validity; });
        if (m_successes.size() > max_successes) {
            m_successes.clear(); // without them, parts are only suspected sooner
        }
    }
    for (const auto part : parts) {
        m_successes[part] = now;
        if (const auto known = m_suspects.find(part); known != m_suspects.end()) {
            clear(known, now, changes);
        }
    }
    return changes;
}

void prompt_quarantine::clear(suspects::iterator known, time_point now,
                              std::vector<quarantine_change>& changes)
{
    if (known->second.independent >= crashes_until_trial) {
        m_reported_until[known->first] = now + success_report_time;
        m_early_report_due = true;
    }
    if (known->second.independent >= crashes_until_quarantine) {
        changes.push_back({m_settings.subject, known->first, false, known->second.independent});
    }
    m_suspects.erase(known);
}

std::vector<quarantine_change> prompt_quarantine::apply_reported(const vm_report& report,
                                                                 time_point received_at)
{
    std::vector<quarantine_change> changes;
    for (const auto& answered : report.part_successes) {
        if (answered.subject != m_settings.subject) {
            continue;
        }
        const auto at = received_at - answered.age;
        auto& known = m_successes[answered.part];
        known = std::max(known, at);
        if (const auto found = m_suspects.find(answered.part); found != m_suspects.end()) {
            const auto before = found->second.independent;
            std::erase_if(found->second.crashes,
                          [&](const crash& seen) { return is_voided(answered.part, seen); });
            found->second.independent = count_independent(found->second.crashes);
            if (before >= crashes_until_quarantine && found->second.independent < crashes_until_quarantine) {
                changes.push_back({m_settings.subject, answered.part, false, before});
            }
            if (found->second.crashes.empty()) {
                m_suspects.erase(found);
            }
        }
    }
    for (const auto& reported : report.part_crashes) {
        if (reported.subject != m_settings.subject) {
            continue;
        }
        const crash seen{reported.upstream,
                         reported.started_unix_ms,
                         received_at - reported.sent_age,
                         received_at - reported.ended_age,
                         reported.observer,
                         reported.broken_send};
        if (is_voided(reported.part, seen)) {
            // The reporter doesn't know that the part was answered.
            m_reported_until[reported.part] = received_at + success_report_time;
            continue;
        }
        limit_suspects(received_at);
        add_crash(reported.part, seen, received_at, changes);
    }
    for (const auto& reported : report.part_trials) {
        if (reported.subject == m_settings.subject && reported.vm != m_self) {
            apply_trial(reported, received_at);
        }
    }
    return changes;
}

void prompt_quarantine::apply_trial(const part_trial& reported, time_point received_at)
{
    for (auto known = m_other_trials.begin(); known != m_other_trials.end();) {
        std::erase_if(known->second, [&](const known_trial& other) {
            return received_at - other.reported_at >= trial_report_ttl;
        });
        known = known->second.empty() ? m_other_trials.erase(known) : std::next(known);
    }
    auto& trials = m_other_trials[reported.part];
    std::erase_if(trials, [&](const known_trial& other) { return other.vm == reported.vm; });
    trials.push_back({reported.vm, received_at - reported.age, received_at});
}

void prompt_quarantine::limit_suspects(time_point now)
{
    if (m_suspects.size() < max_suspects) {
        return;
    }
    expire(now);
    while (m_suspects.size() >= max_suspects) {
        // The least suspected goes first, of several the one that has not changed for the longest time.
        m_suspects.erase(
            std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& one, const auto& other) {
                return std::pair(one.second.independent, one.second.changed_at) <
                       std::pair(other.second.independent, other.second.changed_at);
            }));
    }
}

void prompt_quarantine::expire(time_point now)
{
    std::erase_if(m_suspects, [&](const auto& known) {
        const auto& [part, state] = known;
        const boot_clock::duration ttl = state.independent < crashes_until_trial
                                             ? boot_clock::duration(single_crash_ttl)
                                             : m_settings.crash_ttl;
        return now - state.crashes.back().ended_at > ttl;
    });
}

quarantine_report prompt_quarantine::take_report(time_point now)
{
    quarantine_report report;
    expire(now);
    const bool full = ++m_reports % reports_per_full_report == 0;
    std::vector<suspects::const_iterator> reported;
    for (auto known = m_suspects.cbegin(); known != m_suspects.cend(); ++known) {
        const bool recent = now - known->second.changed_at < recent_change;
        // An end that only another VM has seen is passed on once it matters, for VMs that start later.
        if (known->second.independent >= crashes_until_trial
                ? recent || full
                : recent && known->second.crashes.back().observer == m_self) {
            reported.push_back(known);
        }
    }
    std::sort(reported.begin(), reported.end(), [](auto one, auto other) {
        return std::pair(one->second.independent, one->second.changed_at) >
               std::pair(other->second.independent, other->second.changed_at);
    });
    for (const auto& known : reported) {
        if (report.crashes.size() + known->second.crashes.size() > m_settings.max_reported_crashes) {
            break;
        }
        for (const auto& seen : known->second.crashes) {
            report.crashes.push_back({known->first, seen.observer, seen.upstream, seen.started_unix_ms,
                                      age_at(now, seen.sent_at), age_at(now, seen.ended_at), seen.broken_send,
                                      m_settings.subject});
        }
    }
    for (const auto& [part, announced_at] : m_own_trials) {
        if (report.trials.size() < max_reported_trials) {
            report.trials.push_back({part, m_self, age_at(now, announced_at), m_settings.subject});
        }
    }
    std::erase_if(m_reported_until, [&](const auto& known) { return known.second <= now; });
    for (const auto& [part, until] : m_reported_until) {
        const auto answered = m_successes.find(part);
        if (answered != m_successes.end() && report.successes.size() < max_reported_successes) {
            report.successes.push_back({part, age_at(now, answered->second), m_settings.subject});
        }
    }
    return report;
}

std::size_t prompt_quarantine::quarantined() const
{
    return static_cast<std::size_t>(
        std::count_if(m_suspects.begin(), m_suspects.end(), [](const auto& known) {
            return known.second.independent >= crashes_until_quarantine;
        }));
}

} // namespace cardamomstream
