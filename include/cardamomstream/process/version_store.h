/// The version of the rules in force at this VM. It only grows.
#pragma once

#include "cardamomstream/process/configuration_types.h"
#include "cardamomstream/process/line_delta.h"

#include <concepts>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cardamomstream {

struct version_store_settings {
    std::size_t max_deltas = 64;                ///< versions that a peer may lag behind and still get deltas
    std::size_t max_delta_bytes = 256UL * 1024; ///< over all kept deltas
    std::size_t max_refused = 16;               ///< refused versions that are remembered
    std::size_t max_text_bytes = 1024UL * 1024;
};

/// Reads a document; the verdict must depend on the bytes alone.
template <class Parser>
concept document_parser = requires(const Parser& parser, const version_document& document)
{
    typename Parser::value_type;
    {
        parser(document)
        } -> std::same_as<result<typename Parser::value_type>>;
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

/// Holds the last accepted version and its parsed value. Not thread-safe; publish `value()` as a snapshot.
template <document_parser Parser>
class version_store {
public:
    using value_type = typename Parser::value_type;

    version_store(Parser parser, version_store_settings settings)
        : m_parser(std::move(parser))
        , m_record(settings)
    {
    }

    /// Takes a whole document, from the service or a peer.
    offer_result offer(const version_document& document, time_point now)
    {
        const version_id id{document.number, digest_text(document.text)};
        if (auto known = m_record.judge(id, document.text.size(), now)) {
            return *std::move(known);
        }
        auto parsed = m_parser(document);
        if (!parsed) {
            m_record.refuse(id, parsed.error(), now);
            return {offer_verdict::refused, parsed.error()};
        }
        m_value = std::make_shared<const value_type>(std::move(parsed).value());
        m_record.accept(id, document.text, now);
        return {offer_verdict::accepted, {}};
    }

    /// Takes what a peer sent. Only the last version of a chain of deltas is read and judged.
    offer_result offer(const version_update& update, time_point now)
    {
        if (const auto* document = std::get_if<version_document>(&update)) {
            return offer(*document, now);
        }
        auto applied = m_record.apply(std::get<std::vector<version_delta>>(update));
        if (auto* failed = std::get_if<offer_result>(&applied)) {
            return *std::move(failed);
        }
        return offer(std::get<version_document>(applied), now);
    }

    /// The service or a peer that has just asked it holds the same version as this VM.
    void confirm(const version_id& id, time_point now)
    {
        if (m_record.current() == id) {
            m_record.confirm(now);
        }
    }

    /// nullptr until the first version is accepted.
    std::shared_ptr<const value_type> value() const noexcept { return m_value; }
    const std::optional<version_id>& current() const noexcept { return m_record.current(); }
    const std::string& text() const noexcept { return m_record.text(); }
    const std::deque<refused_version>& refused() const noexcept { return m_record.refused(); }

    /// How long ago the version in force was last confirmed; nullopt without a version.
    std::optional<std::chrono::milliseconds> age(time_point now) const
    {
        const auto confirmed = m_record.confirmed_at();
        if (!confirmed) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmed);
    }

    /// What to send to a VM that holds `held`; nullopt if there is nothing newer here.
    std::optional<version_update> update_for(const std::optional<version_id>& held) const
    {
        return m_record.update_for(held);
    }

private:
    Parser m_parser;
    version_record m_record;
    std::shared_ptr<const value_type> m_value;
};

} // namespace cardamomstream
