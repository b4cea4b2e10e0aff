#include "cardamomstream/process/version_record.h"

#include "cardamomstream/process/line_delta.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

offer_result rejection(offer_verdict verdict, error_kind kind, std::string message, std::string remedy)
{
    return {verdict, error{kind, std::move(message), std::move(remedy), run_outcome::not_run, {}}};
}

offer_result base_not_held()
{
    return rejection(offer_verdict::base_not_held, error_kind::stale_version,
                     "the deltas start from a version that is not held here", "request the whole text");
}

} // namespace

version_record::version_record(version_store_settings settings)
    : m_settings(settings)
{
}

std::optional<offer_result> version_record::check_offer(const version_id& id, std::size_t bytes,
                                                        time_point now)
{
    if (m_current == id) {
        confirm(now);
        return offer_result{offer_verdict::already_held, {}};
    }
    if (m_current && id < *m_current) {
        return rejection(offer_verdict::stale, error_kind::stale_version,
                         "version " + std::to_string(id.number) + " is older than version " +
                             std::to_string(m_current->number) + ", which is in force",
                         "publish a version with a higher number");
    }
    const auto known = std::find_if(m_refused.begin(), m_refused.end(),
                                    [&id](const refused_version& refused) { return refused.id == id; });
    if (known != m_refused.end()) {
        return offer_result{offer_verdict::refused, known->reason};
    }
    if (bytes > m_settings.max_text_bytes) {
        const auto too_large =
            rejection(offer_verdict::refused, error_kind::invalid_rules,
                      "version " + std::to_string(id.number) + " has " + std::to_string(bytes) +
                          " bytes, more than " + std::to_string(m_settings.max_text_bytes),
                      "publish a smaller document");
        refuse(id, *too_large.reason, now);
        return too_large;
    }
    return std::nullopt;
}

std::variant<version_document, offer_result>
version_record::apply(const std::vector<version_delta>& deltas) const
{
    // A peer may send more deltas than needed; those before the version held here are skipped.
    const auto first = std::find_if(deltas.begin(), deltas.end(),
                                    [this](const version_delta& delta) { return m_current == delta.from; });
    if (first == deltas.end()) {
        return base_not_held();
    }
    std::string text = m_text;
    version_id reached = *m_current;
    for (auto delta = first; delta != deltas.end(); ++delta) {
        if (delta->from != reached) {
            return base_not_held();
        }
        auto next = apply_edits(text, delta->edits);
        if (!next || digest_text(next.value()) != delta->to.digest) {
            return rejection(offer_verdict::digest_mismatch, error_kind::invalid_argument,
                             "the deltas do not produce version " + std::to_string(delta->to.number),
                             "request the whole text");
        }
        text = std::move(next).value();
        reached = delta->to;
    }
    return version_document{reached.number, std::move(text)};
}

void version_record::accept(const version_id& id, std::string text, time_point now)
{
    if (m_current) {
        m_deltas.push_back({*m_current, id, diff_lines(m_text, text)});
        m_delta_bytes += delta_bytes(m_deltas.back());
        trim_deltas();
    }
    m_current = id;
    m_text = std::move(text);
    m_confirmed_at = now;
}

void version_record::trim_deltas()
{
    while (m_deltas.size() > m_settings.max_deltas || m_delta_bytes > m_settings.max_delta_bytes) {
        m_delta_bytes -= delta_bytes(m_deltas.front());
        m_deltas.pop_front();
    }
}

void version_record::refuse(const version_id& id, const error& reason, time_point now)
{
    m_refused.push_back({id, reason, now});
    if (m_refused.size() > m_settings.max_refused) {
        m_refused.pop_front();
    }
}

void version_record::confirm(time_point now)
{
    m_confirmed_at = now;
}

const std::optional<version_id>& version_record::current() const noexcept
{
    return m_current;
}

const std::string& version_record::text() const noexcept
{
    return m_text;
}

std::optional<time_point> version_record::confirmed_at() const noexcept
{
    return m_confirmed_at;
}

const std::deque<refused_version>& version_record::refused() const noexcept
{
    return m_refused;
}

std::optional<version_update> version_record::update_for(const std::optional<version_id>& held) const
{
    if (!m_current || (held && *held >= *m_current)) {
        return std::nullopt;
    }
    const auto first = std::find_if(m_deltas.begin(), m_deltas.end(),
                                    [&held](const version_delta& delta) { return held == delta.from; });
    std::size_t bytes = 0;
    for (auto delta = first; delta != m_deltas.end(); ++delta) {
        bytes += delta_bytes(*delta);
    }
    if (first == m_deltas.end() || bytes > m_text.size()) {
        return version_document{m_current->number, m_text};
    }
    return std::vector<version_delta>(first, m_deltas.end());
}

} // namespace cardamomstream
