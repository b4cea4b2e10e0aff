/// Text and history of configuration versions.
#pragma once

#include "cardamomstream/process/configuration_types.h"

#include <deque>
#include <optional>
#include <string>
#include <variant>

namespace cardamomstream {

struct version_store_settings {
    std::size_t max_deltas = 64;                ///< versions that a peer may be behind and still get deltas
    std::size_t max_delta_bytes = 256UL * 1024; ///< of all stored deltas together
    std::size_t max_refused = 16;               ///< refused versions to remember
    std::size_t max_text_bytes = 1024UL * 1024;
};

/// Holds the text in force, the deltas between recent versions, and the refused versions; not the parsed
/// value, which `version_store` holds.
class version_record {
public:
    explicit version_record(version_store_settings settings);

    /// Result of an offer if it is known without parsing the text; nullopt if the text has to be parsed.
    std::optional<offer_result> check_offer(const version_id& id, std::size_t bytes, time_point now);
    /// Text that the deltas produce, or the reason why they cannot be applied.
    std::variant<version_document, offer_result> apply(const std::vector<version_delta>& deltas) const;
    void accept(const version_id& id, std::string text, time_point now);
    void refuse(const version_id& id, const error& reason, time_point now);
    void confirm(time_point now);

    const std::optional<version_id>& current() const noexcept;
    const std::string& text() const noexcept;
    /// Time of the last confirmation: acceptance, or an offer of the same version.
    std::optional<time_point> confirmed_at() const noexcept;
    const std::deque<refused_version>& refused() const noexcept;
    std::optional<version_update> update_for(const std::optional<version_id>& held) const;

private:
    void trim_deltas();

    version_store_settings m_settings;
    std::optional<version_id> m_current;
    std::string m_text;
    std::optional<time_point> m_confirmed_at;
    std::deque<version_delta> m_deltas;
    std::size_t m_delta_bytes = 0;
    std::deque<refused_version> m_refused;
};

} // namespace cardamomstream
