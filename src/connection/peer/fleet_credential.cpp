#include "fleet_credential.h"

#include <optional>
#include <string_view>
#include <utility>

#include <grpc/grpc.h>
#include <grpc/slice.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace cardamomstream {

namespace {

constexpr const char* credential_key = "fleet-credential";
constexpr const char* vm_key = "vm";

bool is_sendable(const std::string& value)
{
    const auto slice = grpc_slice_from_static_buffer(value.data(), value.size());
    return !value.empty() && grpc_header_nonbin_value_is_legal(slice) != 0;
}

std::array<std::uint8_t, 32> digest_of(std::string_view text)
{
    std::array<std::uint8_t, 32> digest{};
    static_assert(SHA256_DIGEST_LENGTH == digest.size());
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return digest;
}

std::optional<std::string_view> single_value(const grpc::CallbackServerContext& context, const char* key)
{
    const auto& metadata = context.client_metadata();
    if (metadata.count(key) != 1) {
        return std::nullopt;
    }
    const auto& value = metadata.find(key)->second;
    return std::string_view{value.data(), value.size()};
}

error denied(const std::string& what)
{
    return {error_kind::permission_denied,
            what,
            "give every VM of the fleet the same credential in its settings",
            {},
            {}};
}

} // namespace

fleet_credential::fleet_credential(peer_identity self)
    : m_vm(self.vm.str())
    , m_credential(std::move(self.credential))
    , m_sendable(is_sendable(m_vm) && is_sendable(m_credential))
{
}

result<void> fleet_credential::attach(grpc::ClientContext& context) const
{
    if (!m_sendable) {
        return error{error_kind::invalid_settings,
                     "the fleet's credential or the VM's name is empty or has characters that are not ASCII",
                     "use printable ASCII characters for both",
                     {},
                     {}};
    }
    context.AddMetadata(credential_key, m_credential);
    context.AddMetadata(vm_key, m_vm);
    return boost::outcome_v2::success();
}

credential_check::credential_check(const std::string& credential)
    : m_digest(digest_of(credential))
{
}

result<vm_name> credential_check::sender_of(const grpc::CallbackServerContext& context) const
{
    const auto given = single_value(context, credential_key);
    if (!given) {
        return denied("the call has no fleet credential");
    }
    const auto digest = digest_of(*given);
    if (CRYPTO_memcmp(digest.data(), m_digest.data(), digest.size()) != 0) {
        return denied("the call has a wrong fleet credential");
    }
    const auto vm = single_value(context, vm_key);
    if (!vm || vm->empty()) {
        return denied("the call does not name the VM that sends it");
    }
    return vm_name{std::string{*vm}};
}

} // namespace cardamomstream
