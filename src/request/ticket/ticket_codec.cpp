#include "cardamomstream/request/ticket_codec.h"

#include <algorithm>
#include <cstddef>
#include <span>

#include <boost/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cardamomstream {

namespace {

constexpr std::size_t base64_group = 4;
constexpr std::size_t base64_group_bytes = 3;
constexpr char separator = '.';

enum field : std::size_t { vm_field, process_field, number_field, customer_field, route_field, run_by_field };
constexpr std::size_t field_count = 6;

error malformed_ticket()
{
    return {
        error_kind::ticket_refused, "the ticket is malformed", "get a new ticket from GET /v1/entry", {}, {}};
}

std::string to_base64_url(std::span<const unsigned char> bytes)
{
    std::string text((bytes.size() + base64_group_bytes - 1) / base64_group_bytes * base64_group + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    text.erase(text.find_last_not_of('=') + 1);
    return text;
}

bool is_base64_url(std::string_view text)
{
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    return text.find_first_not_of(alphabet) == std::string_view::npos;
}

std::optional<std::string> from_base64_url(std::string_view text)
{
    if (text.empty() || !is_base64_url(text)) {
        return std::nullopt;
    }
    std::string padded{text};
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (base64_group - padded.size() % base64_group) % base64_group;
    padded.append(padding, '=');
    std::string bytes(padded.size() / base64_group * base64_group_bytes, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(padded.data()),
                                       static_cast<int>(padded.size()));
    if (length < 0 || padding == base64_group_bytes) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string serialize_payload(const ticket& value)
{
    const boost::json::array fields{value.id.issuer.vm.str(), value.id.issuer.process.value,
                                    value.id.number,          value.customer.str(),
                                    value.route.str(),        value.run_by.count()};
    return boost::json::serialize(fields);
}

std::string write_text(std::string_view payload, const ticket_mac& mac)
{
    return to_base64_url({reinterpret_cast<const unsigned char*>(payload.data()), payload.size()}) +
           separator + to_base64_url(mac);
}

ticket_mac compute_mac(std::string_view payload, const ticket_key& key)
{
    ticket_mac mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), mac.data(), &length);
    return mac;
}

/// Parses the JSON array of a ticket; nothing if its length or a field type is wrong.
std::optional<boost::json::array> read_fields(std::string_view payload)
{
    boost::system::error_code failed;
    boost::json::value parsed = boost::json::parse(payload, failed);
    if (failed || !parsed.is_array() || parsed.as_array().size() != field_count) {
        return std::nullopt;
    }
    const auto& fields = parsed.as_array();
    const bool has_names =
        fields[vm_field].is_string() && fields[customer_field].is_string() && fields[route_field].is_string();
    const bool has_numbers = fields[process_field].is_number() && fields[number_field].is_number() &&
                             fields[run_by_field].is_int64();
    if (!has_names || !has_numbers) {
        return std::nullopt;
    }
    return parsed.as_array();
}

} // namespace

std::string write_ticket(ticket& value, const ticket_key& key)
{
    const std::string payload = serialize_payload(value);
    value.mac = compute_mac(payload, key);
    return write_text(payload, value.mac);
}

result<ticket> read_ticket(std::string_view text)
{
    const auto separator_position = text.find(separator);
    if (text.size() > max_ticket_bytes || separator_position == std::string_view::npos) {
        return malformed_ticket();
    }
    const auto payload = from_base64_url(text.substr(0, separator_position));
    const auto mac = from_base64_url(text.substr(separator_position + 1));
    if (!payload || !mac || mac->size() != ticket_mac{}.size()) {
        return malformed_ticket();
    }
    const auto fields = read_fields(*payload);
    if (!fields) {
        return malformed_ticket();
    }
    boost::system::error_code failed;
    ticket value;
    value.id.issuer.vm = vm_name{std::string{(*fields)[vm_field].as_string()}};
    value.id.issuer.process.value = (*fields)[process_field].to_number<std::uint64_t>(failed);
    if (failed) {
        return malformed_ticket();
    }
    value.id.number = (*fields)[number_field].to_number<std::uint64_t>(failed);
    if (failed) {
        return malformed_ticket();
    }
    value.customer = customer_name{std::string{(*fields)[customer_field].as_string()}};
    value.route = route_name{std::string{(*fields)[route_field].as_string()}};
    value.run_by = std::chrono::milliseconds{(*fields)[run_by_field].as_int64()};
    std::copy_n(mac->begin(), value.mac.size(), value.mac.begin());
    // The MAC covers the values: any other text with the same ones was not issued.
    if (write_text(serialize_payload(value), value.mac) != text) {
        return malformed_ticket();
    }
    return value;
}

bool has_valid_mac(const ticket& value, const ticket_key& key)
{
    return is_same_mac(value.mac, compute_mac(serialize_payload(value), key));
}

bool is_same_mac(const ticket_mac& left, const ticket_mac& right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

request_digest digest_request(std::string_view method, std::string_view target, std::string_view body)
{
    // The JSON array delimits method, target and body unambiguously, whatever characters they contain.
    const std::string head = boost::json::serialize(boost::json::array{method, target});
    request_digest digest{};
    unsigned int length = 0;
    EVP_MD_CTX* context = EVP_MD_CTX_new();
    EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
    EVP_DigestUpdate(context, head.data(), head.size());
    EVP_DigestUpdate(context, body.data(), body.size());
    EVP_DigestFinal_ex(context, digest.data(), &length);
    EVP_MD_CTX_free(context);
    return digest;
}

} // namespace cardamomstream
