#include "peer_fixture.h"

#include "peer_messages.h"

#include <atomic>
#include <memory>
#include <sstream>

#include <catch2/catch.hpp>
#include <grpcpp/create_channel.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

/// Collects the log of the process while it lives.
class captured_log {
public:
    captured_log()
        : m_before(spdlog::default_logger())
    {
        auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(m_text, true);
        spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;
    captured_log(captured_log&&) = delete;
    captured_log& operator=(captured_log&&) = delete;
    ~captured_log() { spdlog::set_default_logger(m_before); }

    bool has(const std::string& part) const { return m_text.str().find(part) != std::string::npos; }

private:
    std::ostringstream m_text;
    std::shared_ptr<spdlog::logger> m_before;
};

std::string text_of(BIO* bio)
{
    char* data = nullptr;
    const auto size = BIO_get_mem_data(bio, &data);
    std::string text(data, static_cast<std::size_t>(size));
    BIO_free(bio);
    return text;
}

/// An identity whose certificate is signed by itself, for a name that no VM has.
peer_identity with_certificate(peer_identity self)
{
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), &X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    auto* name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>("fleet"), -1,
                               -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    auto* certificate_text = BIO_new(BIO_s_mem());
    PEM_write_bio_X509(certificate_text, certificate.get());
    auto* key_text = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(key_text, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    self.certificate_pem = text_of(certificate_text);
    self.key_pem = text_of(key_text);
    self.authority_pem = self.certificate_pem;
    return self;
}

/// A caller that sends the metadata that a test wants.
grpc::Status raw_invite(const peer_address& to,
                        const std::vector<std::pair<std::string, std::string>>& metadata)
{
    const auto channel = grpc::CreateChannel("ipv4:" + to.address.str(), grpc::InsecureChannelCredentials());
    const auto stub = wire::Peer::NewStub(channel);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + 5s);
    for (const auto& [name, value] : metadata) {
        context.AddMetadata(name, value);
    }
    wire::Invitation reply;
    return stub->Invite(&context, {}, &reply);
}

} // namespace

TEST_CASE("a caller without the credential of the fleet is refused")
{
    std::atomic<int> served = 0;
    auto handlers = quiet_handlers();
    handlers.invite = [&] {
        ++served;
        return hand_over_invitation{};
    };
    handlers.forward = [&](const vm_name&, const forward_request&, std::size_t, response_writer& writer) {
        ++served;
        (void)writer.send({});
    };
    const captured_log log;
    running_peer peer(handlers);

    SECTION("a wrong credential")
    {
        calling_peer stranger(identity_of("vm-x", "another secret"));
        const auto refused = in_fiber(
            stranger.thread, [&] { return stranger.client.invite(peer.address, call_limit).error(); });
        CHECK(refused.kind == error_kind::permission_denied);
        CHECK(refused.outcome == run_outcome::not_run);
        CHECK(log.has("127.0.0.1"));
        CHECK_FALSE(log.has("secret"));

        const auto forward_refused = in_fiber(stranger.thread, [&] {
            cancellation cancel;
            const auto stream = stranger.client.forward(peer.address, forwarded("x"), cancel);
            return stream.value()->next().error();
        });
        CHECK(forward_refused.kind == error_kind::permission_denied);
        CHECK(forward_refused.outcome == run_outcome::not_run);
    }
    SECTION("no credential, two, or no name")
    {
        const std::pair<std::string, std::string> credential{"fleet-credential", "fleet secret"};
        const std::pair<std::string, std::string> wrong{"fleet-credential", "x"};
        const std::pair<std::string, std::string> name{"vm", "vm-x"};
        CHECK(raw_invite(peer.address, {name}).error_code() == grpc::StatusCode::PERMISSION_DENIED);
        CHECK(raw_invite(peer.address, {name, wrong, credential}).error_code() ==
              grpc::StatusCode::PERMISSION_DENIED);
        CHECK(raw_invite(peer.address, {credential}).error_code() == grpc::StatusCode::PERMISSION_DENIED);
        CHECK(served == 0);
        CHECK(raw_invite(peer.address, {name, credential}).ok());
        served = 0;
    }
    CHECK(served == 0);

    calling_peer member;
    CHECK(in_fiber(member.thread, [&] { return member.client.invite(peer.address, call_limit); }));
    CHECK(served == 1);
}

TEST_CASE("a credential that cannot be sent is named as a fault of the settings")
{
    running_peer peer(quiet_handlers());
    const auto* unsendable = GENERATE("", "two\nlines", "g\xc4\x81ze");
    calling_peer caller(identity_of("vm-a", unsendable));
    const auto refused =
        in_fiber(caller.thread, [&] { return caller.client.invite(peer.address, call_limit).error(); });
    CHECK(refused.kind == error_kind::invalid_settings);
}

TEST_CASE("TLS lets in those whose certificate the fleet's authority signed")
{
    const auto member = with_certificate(identity_of("vm-b"));
    running_peer peer(quiet_handlers(), member);
    const auto call_as = [&](const peer_identity& self) {
        calling_peer caller(self);
        return in_fiber(caller.thread, [&] { return caller.client.invite(peer.address, 2s); });
    };

    SECTION("a member of the fleet")
    {
        CHECK(call_as(member));
    }
    SECTION("another authority")
    {
        CHECK_FALSE(call_as(with_certificate(identity_of("vm-x"))));
    }
    SECTION("no TLS")
    {
        CHECK_FALSE(call_as(identity_of("vm-x")));
    }
    SECTION("the right authority but a certificate of another")
    {
        auto stranger = with_certificate(identity_of("vm-x"));
        stranger.authority_pem = member.authority_pem;
        CHECK_FALSE(call_as(stranger));
    }
    SECTION("a client does not talk to a server of another authority")
    {
        auto stranger = with_certificate(identity_of("vm-x"));
        running_peer impostor(quiet_handlers(), [&] {
            auto self = stranger;
            self.authority_pem = member.authority_pem;
            return self;
        }());
        calling_peer caller(member);
        CHECK_FALSE(in_fiber(caller.thread, [&] { return caller.client.invite(impostor.address, 2s); }));
    }
}

TEST_CASE("a certificate that is not valid is a fault of the settings")
{
    auto self = with_certificate(identity_of("vm-b"));
    self.key_pem = "not a key";
    traffic_thread control;
    traffic_group traffic{1};
    peer_server server(self, control, traffic, quiet_handlers());
    const auto refused = server.listen({"127.0.0.1", 0});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == error_kind::invalid_settings);
}
