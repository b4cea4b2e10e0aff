/// The version of the rules in force at this VM. It is never replaced by an older one.
#pragma once

#include "cardamomstream/process/configuration_types.h"
#include "cardamomstream/process/line_delta.h"
#include "cardamomstream/process/version_record.h"

#include <concepts>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cardamomstream {

/// Parses a document; the result must depend on its bytes alone.
template <class Parser>
concept document_parser = requires(const Parser& parser, const version_document& document)
{
    typename Parser::value_type;
    {
        parser(document)
        } -> std::same_as<result<typename Parser::value_type>>;
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

    /// Offers a whole document from the service or a peer.
    offer_result offer(const version_document& document, time_point now)
    {
        const version_id id{document.number, digest_text(document.text)};
        if (auto known = m_record.check_offer(id, document.text.size(), now)) {
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

    /// Offers an update from a peer. Of a chain of deltas, only the last version is parsed and checked.
    offer_result offer(const version_update& update, time_point now)
    {
        if (const auto* document = std::get_if<version_document>(&update)) {
            return offer(*document, now);
        }
        auto applied = m_record.apply(std::get<std::vector<version_delta>>(update));
        if (auto* failed = std::get_if<offer_result>(&applied)) {
            return std::move(*failed);
        }
        return offer(std::get<version_document>(applied), now);
    }

    /// Records that the service, or a peer that has just read from it, holds version `id`. This confirms
    /// the version in force if it is the same.
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

    /// Update for a VM that holds `held`; nullopt if this VM holds nothing newer.
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
