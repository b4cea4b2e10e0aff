/// The text, deltas and refusals of versions, without the parsed value.
#pragma once

#include "cardamomstream/process/configuration_types.h"

#include <deque>
#include <optional>
#include <string>
#include <variant>

namespace cardamomstream {

struct version_store_settings {
    std::size_t max_deltas = 64;                ///< versions that a peer may lag behind and still get deltas
    std::size_t max_delta_bytes = 256UL * 1024; ///< over all kept deltas
    std::size_t max_refused = 16;               ///< refused versions that are remembered
    std::size_t max_text_bytes = 1024UL * 1024;
};

/// The text, deltas and refusals of versions, without the parsed value.
class version_record {
public:
    explicit version_record(version_store_settings settings);

    /// What can be said before the text is read; nullopt: it has to be read.
    std::optional<offer_result> judge(const version_id& id, std::size_t bytes, time_point now);
    /// Text after the deltas, or why they can't be used.
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
